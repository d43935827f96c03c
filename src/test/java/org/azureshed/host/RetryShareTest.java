package org.azureshed.host;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards the retry budget that all targets of a service share without telling each other. */
class RetryShareTest {
    private static final double RATIO = 0.2;
    private static final double WINDOW_SECONDS = 10;

    /** Load pattern: every request of every target fails and each repeat is tried there. */
    @ParameterizedTest
    @CsvSource({"35,60,40", "93,200,300", "32,56,30", "3,60,100", "300,200,10"})
    void fleetStaysWithinItsBudgetInEveryWindow(int targets, double slack, int requestsPerSecond) {
        List<RetryShare> shares = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            shares.add(new RetryShare(RATIO, slack, WINDOW_SECONDS, targets, 0));
        }
        Deque<Long> retries = new ArrayDeque<>();
        long window = TimeUnit.SECONDS.toNanos((long) WINDOW_SECONDS);
        long step = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
        double allowed = RATIO * requestsPerSecond * WINDOW_SECONDS + slack;
        for (int request = 0; request < requestsPerSecond * 30; request++) {
            long now = request * step;
            RetryShare share = shares.get(request % targets);
            share.requestStarted();
            if (share.tryRetry(now)) {
                retries.addLast(now);
            }
            while (!retries.isEmpty() && now - retries.peekFirst() >= window) {
                retries.removeFirst();
            }
            assertTrue(
                    retries.size() <= allowed,
                    () -> retries.size() + " retries in a window, allowed " + allowed);
        }
    }
}
