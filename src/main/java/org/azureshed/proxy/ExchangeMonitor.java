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
 * Cancels requests whose caller has closed its connection, and stalled requests.
 *
 * <p>The thread that handles a request can detect neither: a blocking write has no timeout, and the
 * server does not read from a connection while its request is being handled.
 */
@Singleton
final class ExchangeMonitor {
    private static final long CHECK_PERIOD_MILLIS = 500;
    private static final long STALL_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long MIN_CALLER_CHECK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final Set<InFlight> inFlight = ConcurrentHashMap.newKeySet();
    private final OpenConnections connections;

    @Inject
    ExchangeMonitor(OpenConnections connections) {
        this.connections = connections;
        ScheduledExecutorService timer =
                Executors.newSingleThreadScheduledExecutor(
                        Thread.ofPlatform().daemon().name("exchange-monitor").factory());
        timer.scheduleWithFixedDelay(
                this::check, CHECK_PERIOD_MILLIS, CHECK_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts to watch a request.
     *
     * @param request the outgoing request, which is cancelled if a check fails
     * @param from the received request that it forwards
     * @return a handle that the caller must close when the answer is complete
     */
    InFlight watch(CancellableRequest request, HttpServletRequest from) {
        return watch(request, Optional.of(InFlight.TcpPorts.of(from)));
    }

    /**
     * Starts to watch a request that the node itself originates.
     *
     * @param request the request to cancel if it stalls
     * @return a handle that the caller must close when the answer is complete
     */
    InFlight watchNodeRequest(CancellableRequest request) {
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
        boolean callerCheckDue = false;
        for (InFlight entry : inFlight) {
            callerCheckDue |= now - entry.startNanos() > MIN_CALLER_CHECK_AGE_NANOS;
            if (now - entry.progressNanos() > STALL_TIMEOUT_NANOS) {
                entry.cancel(UnknownCause.ANSWER_TIMEOUT);
            }
        }
        if (!callerCheckDue) {
            return;
        }
        connections.read().ifPresent(open -> cancelClosedCallers(open, now));
    }

    /** Skips younger requests: their connection may be newer than the table that was read. */
    private void cancelClosedCallers(Set<InFlight.TcpPorts> open, long now) {
        for (InFlight entry : inFlight) {
            boolean callerGone = entry.caller().isPresent() && !open.contains(entry.caller().get());
            if (callerGone && now - entry.startNanos() > MIN_CALLER_CHECK_AGE_NANOS) {
                entry.cancel(UnknownCause.CALLER_GONE);
            }
        }
    }
}
