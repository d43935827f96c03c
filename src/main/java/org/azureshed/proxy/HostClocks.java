package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.azureshed.idempotency.PermitClock.HostSample;
import org.azureshed.model.NodeId;

/** Last samples of the clocks of host sides, as carried on answers. */
@Singleton
final class HostClocks {
    /**
     * An older sample would waste much of a permit, since the possible difference of the clock
     * rates is subtracted for the time since the sample.
     */
    private static final long MAX_AGE_MILLIS = 5_000;

    private final Map<NodeId, HostSample> samples = new ConcurrentHashMap<>();
    private final HostClock clock;

    @Inject
    HostClocks(HostClock clock) {
        this.clock = clock;
    }

    long nowMillis() {
        return clock.millis();
    }

    void arrived(NodeId node, LoadHeader load) {
        String bootId = Long.toString(load.bootId());
        samples.put(node, new HostSample(bootId, load.clockMillis(), clock.millis()));
    }

    /**
     * A recent sample of a host's clock.
     *
     * @param node the host
     * @return the sample, or empty if there is none or it is too old
     */
    Optional<HostSample> recent(NodeId node) {
        return Optional.ofNullable(samples.get(node))
                .filter(sample -> clock.millis() - sample.arrivedMillis() < MAX_AGE_MILLIS);
    }
}
