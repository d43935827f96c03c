package org.azureshed.host;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against retries beyond the budget that a service's targets share uncoordinated. */
class RetryBudgetShareTest {
    private static final double RATIO = 0.2;
    private static final double WINDOW_SECONDS = 10;

    /** Load pattern: every request at every target fails, and a retry is tried for each. */
    @ParameterizedTest
    @CsvSource({"35,60,40", "93,200,300", "32,56,30", "3,60,100", "300,200,10"})
    void fleetStaysWithinItsBudgetInEveryWindow(int targets, double slack, int requestsPerSecond) {
        List<RetryBudgetShare> shares = new ArrayList<>();
        for (int i = 0; i < targets; i++) {
            shares.add(new RetryBudgetShare(RATIO, slack, WINDOW_SECONDS, targets, 0));
        }
        Deque<Long> retries = new ArrayDeque<>();
        long window = TimeUnit.SECONDS.toNanos((long) WINDOW_SECONDS);
        long step = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
        double allowed = RATIO * requestsPerSecond * WINDOW_SECONDS + slack;
        for (int request = 0; request < requestsPerSecond * 30; request++) {
            long now = request * step;
            RetryBudgetShare share = shares.get(request % targets);
            share.requestStarted(now);
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

    /**
     * Load pattern: all targets of a healthy service begin at once to shed half of the requests. A
     * share that releases its budget gradually leaves most of it unused and fails the requests.
     */
    @Test
    void suddenFailuresCanUseMostOfAWindowsBudget() {
        RetryBudgetShare share = new RetryBudgetShare(RATIO, 200, WINDOW_SECONDS, 7, 0);
        long step = TimeUnit.SECONDS.toNanos(1) / 30;
        long now = 0;
        for (int request = 0; request < 600; request++) {
            now += step;
            share.requestStarted(now);
        }
        int retries = 0;
        for (int request = 0; request < 150; request++) {
            now += step;
            share.requestStarted(now);
            if (share.tryRetry(now)) {
                retries++;
            }
        }
        double allowed = RATIO * 300 + 200.0 / 7;
        assertTrue(retries > 0.75 * allowed, retries + " of " + allowed);
        assertTrue(retries <= allowed, retries + " of " + allowed);
    }

    /** Guards against a restarted process that uses up the slack of the same window again. */
    @Test
    void slackGrowsAfterAStart() {
        RetryBudgetShare share = new RetryBudgetShare(RATIO, 200, WINDOW_SECONDS, 1, 0);
        int retries = 0;
        while (share.tryRetry(TimeUnit.SECONDS.toNanos(1))) {
            retries++;
        }
        assertTrue(retries <= 200 / WINDOW_SECONDS, retries + " retries");
    }
}
