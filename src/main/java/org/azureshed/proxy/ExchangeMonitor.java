package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.UnknownCause;
import org.azureshed.telemetry.EventLog;

/**
 * Cancels requests whose caller has closed its connection, and requests that make no progress.
 *
 * <p>A blocking write has no timeout, and the server does not read from a connection while its
 * request is handled, so neither would be noticed by the thread that handles the request.
 */
@Singleton
final class ExchangeMonitor {
    private static final long PERIOD_MILLIS = 500;
    private static final long STALL_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long CALLER_CHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Set<InFlight> inFlight = ConcurrentHashMap.newKeySet();
    private final OpenConnections connections;

    @Inject
    ExchangeMonitor(OpenConnections connections) {
        this.connections = connections;
        ScheduledExecutorService timer =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("exchange-monitor").factory());
        timer.scheduleWithFixedDelay(
                this::check, PERIOD_MILLIS, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to watch a request.
     *
     * @param request the request to cancel
     * @param from the request that it was made from
     * @return a handle that has to be closed when the answer is complete
     */
    InFlight watch(CancellableRequest request, HttpServletRequest from) {
        return watch(request, Optional.of(InFlight.TcpPorts.of(from)));
    }

    /**
     * Starts to watch a request that the node makes for itself.
     *
     * @param request the request to cancel if it stalls
     * @return a handle that has to be closed when the answer is complete
     */
    InFlight watchOwn(CancellableRequest request) {
        return watch(request, Optional.empty());
    }

    private InFlight watch(CancellableRequest request, Optional<InFlight.TcpPorts> caller) {
        InFlight entry = new InFlight(this, request, caller, System.nanoTime());
        inFlight.add(entry);
        return entry;
    }

    void remove(InFlight entry) {
        inFlight.remove(entry);
    }

    int size() {
        return inFlight.size();
    }

    private void check() {
        try {
            check(System.nanoTime());
        } catch (RuntimeException e) {
            EventLog.warning("exchange_check_failed").with("error", e).write();
        }
    }

    private void check(long now) {
        boolean anyOld = false;
        for (InFlight entry : inFlight) {
            anyOld |= now - entry.startNanos() > CALLER_CHECK_NANOS;
            if (now - entry.progressNanos() > STALL_NANOS) {
                entry.cancel(UnknownCause.ANSWER_TIMEOUT);
            }
        }
        if (!anyOld) {
            return;
        }
        connections.read().ifPresent(open -> cancelClosed(open, now));
    }

    /** Younger requests are left out, since their connection may be newer than the table. */
    private void cancelClosed(Set<InFlight.TcpPorts> open, long now) {
        for (InFlight entry : inFlight) {
            boolean callerGone = entry.caller().isPresent() && !open.contains(entry.caller().get());
            if (callerGone && now - entry.startNanos() > CALLER_CHECK_NANOS) {
                entry.cancel(UnknownCause.CALLER_GONE);
            }
        }
    }
}
