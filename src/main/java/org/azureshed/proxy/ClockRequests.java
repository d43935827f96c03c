package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.azureshed.idempotency.PermitClock.HostSample;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.UnknownCause;

/**
 * Requests clock samples from host sides; no target is involved. It has a connection pool of its
 * own, since the pool for caller requests may be exhausted on the path that is to be probed.
 */
@Singleton
final class ClockRequests {
    private static final Duration TIMEOUT = Duration.ofMillis(1_000);

    private final HostClocks clocks;
    private final ExchangeMonitor monitor;
    private final ForwardClient client =
            new ForwardClient(RefusalReason.NODE_UNREACHABLE, UnknownCause.NODE_CONNECTION_LOST);

    @Inject
    ClockRequests(HostClocks clocks, ExchangeMonitor monitor) {
        this.clocks = clocks;
        this.monitor = monitor;
    }

    /**
     * Requests the clock of one host side and waits for the answer.
     *
     * @param host the node of the host side
     * @return a sample of its clock, or empty if no answer came within 1 s
     */
    Optional<HostSample> requestSample(NodeInfo host) {
        CancellableRequest request = new CancellableRequest("GET", "/");
        request.setHeader(InternalHeaders.CLOCK, "true");
        try (InFlight inFlight = monitor.watchNodeRequest(request)) {
            ForwardResult result =
                    client.send(
                            host.host(), request, RequestBody.empty(), false, TIMEOUT, inFlight);
            if (!(result instanceof ForwardResult.Answer(ClassicHttpResponse answer))) {
                return Optional.empty();
            }
            long arrivedMillis = clocks.nowMillis();
            try (answer) {
                Header header = answer.getFirstHeader(InternalHeaders.CLOCK);
                return Optional.ofNullable(header)
                        .flatMap(found -> StartByHeader.parse(found.getValue()))
                        .map(c -> new HostSample(c.bootId(), c.hostMillis(), arrivedMillis));
            }
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
