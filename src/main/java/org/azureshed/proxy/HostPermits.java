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

/** Converts the end of a permit to the clock of a host side; requests a clock sample if needed. */
@Singleton
final class HostPermits {
    private final PermitClock permitClock = new PermitClock(KeyTiming.STANDARD);
    private final ClockRequests requests;
    private final HostClocks clocks;

    @Inject
    HostPermits(ClockRequests requests, HostClocks clocks) {
        this.requests = requests;
        this.clocks = clocks;
    }

    /**
     * Computes the latest start of a keyed request.
     *
     * @param permit the permit
     * @param host the node that hosts the chosen target
     * @return the latest start on the host's clock, or why the request cannot run there
     */
    Either<RefusalReason, StartBy> startBy(Permit permit, NodeInfo host) {
        Optional<HostSample> sample =
                clocks.recent(host.id()).or(() -> requests.requestSample(host));
        return sample.isEmpty()
                ? Either.left(RefusalReason.NODE_UNREACHABLE)
                : permitClock.startBy(permit, sample.get(), clocks.nowMillis());
    }
}
