package org.azureshed.proxy;

import jakarta.servlet.http.HttpServletRequest;
import java.util.Optional;
import org.azureshed.model.UnknownCause;

/** A forwarded request from sending until its answer is relayed, with progress and cancellation. */
final class InFlight implements AutoCloseable {
    private final ExchangeMonitor monitor;
    private final CancellableRequest request;
    private final Optional<TcpPorts> caller;
    private final long startNanos;
    private volatile long progressNanos;
    private volatile UnknownCause cancelCause;

    /**
     * The ports of a connection on this machine.
     *
     * @param local port of the listener
     * @param remote port of the peer
     */
    record TcpPorts(int local, int remote) {
        static TcpPorts of(HttpServletRequest request) {
            return new TcpPorts(request.getLocalPort(), request.getRemotePort());
        }
    }

    InFlight(
            ExchangeMonitor monitor,
            CancellableRequest request,
            Optional<TcpPorts> caller,
            long nowNanos) {
        this.monitor = monitor;
        this.request = request;
        this.caller = caller;
        this.startNanos = nowNanos;
        this.progressNanos = nowNanos;
    }

    /** Connection of the caller; empty if the node itself is the caller. */
    Optional<TcpPorts> caller() {
        return caller;
    }

    long startNanos() {
        return startNanos;
    }

    long progressNanos() {
        return progressNanos;
    }

    /** Records that bytes of the request or the answer were transferred. */
    void progressed() {
        progressNanos = System.nanoTime();
    }

    void cancel(UnknownCause cause) {
        cancelCause = cause;
        request.cancel();
    }

    /**
     * Returns why this node cancelled the request.
     *
     * @return the cause, or empty if it was not cancelled
     */
    Optional<UnknownCause> cancelCause() {
        return Optional.ofNullable(cancelCause);
    }

    @Override
    public void close() {
        monitor.remove(this);
    }
}
