package org.azureshed.proxy;

import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.azureshed.idempotency.KeyTiming;
import org.azureshed.idempotency.Permit;
import org.azureshed.idempotency.PermitClock;
import org.azureshed.idempotency.PermitClock.HostSample;
import org.azureshed.idempotency.PermitClock.StartBy;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.RefusalReason;

/** Converts the end of a permit to the clock of a host side, and asks for that clock if needed. */
final class HostPermits {
    private static final Duration CLOCK_TIMEOUT = Duration.ofMillis(1_000);

    private final PermitClock clock = new PermitClock(KeyTiming.STANDARD);
    private final ForwardClient client;
    private final HostClocks clocks;
    private final ExchangeMonitor monitor;

    HostPermits(ForwardClient client, HostClocks clocks, ExchangeMonitor monitor) {
        this.client = client;
        this.clocks = clocks;
        this.monitor = monitor;
    }

    /**
     * The last moment for the start of a keyed request.
     *
     * @param permit the permit
     * @param host the node that shall run it
     * @return the moment on the host's clock, or why the request cannot run there
     */
    Either<RefusalReason, StartBy> startBy(Permit permit, NodeInfo host) {
        Optional<HostSample> sample = clocks.recent(host.id()).or(() -> ask(host));
        return sample.isEmpty()
                ? Either.left(RefusalReason.NODE_UNREACHABLE)
                : clock.startBy(permit, sample.get(), clocks.nowMillis());
    }

    private Optional<HostSample> ask(NodeInfo host) {
        CancellableRequest request = new CancellableRequest("GET", "/");
        request.setHeader(InternalHeaders.CLOCK, "true");
        try (InFlight inFlight = monitor.watchOwn(request)) {
            ForwardResult result =
                    client.send(
                            host.host(),
                            request,
                            RequestBody.empty(),
                            false,
                            CLOCK_TIMEOUT,
                            inFlight);
            if (!(result instanceof ForwardResult.Answer(ClassicHttpResponse answer))) {
                return Optional.empty();
            }
            long arrived = clocks.nowMillis();
            try (answer) {
                Header header = answer.getFirstHeader(InternalHeaders.CLOCK);
                return Optional.ofNullable(header)
                        .flatMap(found -> StartByHeader.parse(found.getValue()))
                        .map(c -> new HostSample(c.bootId(), c.hostMillis(), arrived));
            }
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
