package org.azureshed.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Baseline without admission. Requests wait for a slot in order of arrival, in an unbounded queue.
 * A request whose deadline has passed when its turn comes is skipped, since its caller has given
 * up; it is not reported as refused.
 */
final class FifoHost implements SimulatedHost {
    private final VirtualTimeScheduler scheduler;
    private final int slots;
    private final ToLongFunction<SimulatedRequest> serviceNanos;
    private final Deque<Runnable> queue = new ArrayDeque<>();
    private int running;

    FifoHost(
            VirtualTimeScheduler scheduler,
            int slots,
            ToLongFunction<SimulatedRequest> serviceNanos) {
        this.scheduler = scheduler;
        this.slots = slots;
        this.serviceNanos = serviceNanos;
    }

    @Override
    public void submit(SimulatedRequest request, long deadlineNanos, AttemptCallback callback) {
        queue.add(
                () -> {
                    if (scheduler.nowNanos() >= deadlineNanos) {
                        callback.completed(Optional.empty(), Optional.empty());
                        return;
                    }
                    running++;
                    scheduler.scheduleAfter(
                            serviceNanos.applyAsLong(request),
                            () -> {
                                running--;
                                callback.completed(Optional.empty(), Optional.empty());
                                startQueued();
                            });
                });
        startQueued();
    }

    private void startQueued() {
        while (running < slots && !queue.isEmpty()) {
            queue.poll().run();
        }
    }
}
