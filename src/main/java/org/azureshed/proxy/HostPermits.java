package org.azureshed.proxy;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Optional;
import org.azureshed.idempotency.KeyTiming;
import org.azureshed.idempotency.Permit;
import org.azureshed.idempotency.PermitClock;
import org.azureshed.idempotency.PermitClock.HostSample;
import org.azureshed.idempotency.PermitClock.StartBy;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.RefusalReason;

/** Converts the end of a permit to the clock of a host side, and asks for that clock if needed. */
@Singleton
final class HostPermits {
    private final PermitClock clock = new PermitClock(KeyTiming.STANDARD);
    private final ClockRequests requests;
    private final HostClocks clocks;

    @Inject
    HostPermits(ClockRequests requests, HostClocks clocks) {
        this.requests = requests;
        this.clocks = clocks;
    }

    /**
     * The last moment for the start of a keyed request.
     *
     * @param permit the permit
     * @param host the node that shall run it
     * @return the moment on the host's clock, or why the request cannot run there
     */
    Either<RefusalReason, StartBy> startBy(Permit permit, NodeInfo host) {
        Optional<HostSample> sample = clocks.recent(host.id()).or(() -> requests.ask(host));
        return sample.isEmpty()
                ? Either.left(RefusalReason.NODE_UNREACHABLE)
                : clock.startBy(permit, sample.get(), clocks.nowMillis());
    }
}
