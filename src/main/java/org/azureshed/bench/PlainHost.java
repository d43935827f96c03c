package org.azureshed.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Baseline without admission: requests wait at the target in order of arrival, however long. Ones
 * that their caller has given up are skipped when their turn comes.
 */
final class PlainHost implements SimulatedHost {
    private final VirtualTime time;
    private final int slots;
    private final ToLongFunction<SimulatedRequest> serviceNanos;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int running;

    PlainHost(VirtualTime time, int slots, ToLongFunction<SimulatedRequest> serviceNanos) {
        this.time = time;
        this.slots = slots;
        this.serviceNanos = serviceNanos;
    }

    @Override
    public void offer(SimulatedRequest request, long deadlineNanos, Answer answer) {
        waiting.add(
                () -> {
                    if (time.now() >= deadlineNanos) {
                        answer.end(Optional.empty(), Optional.empty());
                        return;
                    }
                    running++;
                    time.after(
                            serviceNanos.applyAsLong(request),
                            () -> {
                                running--;
                                answer.end(Optional.empty(), Optional.empty());
                                start();
                            });
                });
        start();
    }

    private void start() {
        while (running < slots && !waiting.isEmpty()) {
            waiting.poll().run();
        }
    }
}
