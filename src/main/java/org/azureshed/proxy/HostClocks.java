package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.azureshed.idempotency.PermitClock.HostSample;
import org.azureshed.model.NodeId;

/** Latest clock sample of each host side, taken from the load header of answers. */
@Singleton
final class HostClocks {
    /**
     * Maximum age of a usable sample. The possible clock drift since the sample is subtracted from
     * the permit, so an older sample would leave too little of it.
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

    void received(NodeId node, LoadHeader load) {
        String bootId = Long.toString(load.bootId());
        samples.put(node, new HostSample(bootId, load.clockMillis(), clock.millis()));
    }

    /**
     * A recent sample of a host's clock.
     *
     * @param node the node of the host side
     * @return the sample, or empty if there is none or it is too old
     */
    Optional<HostSample> recent(NodeId node) {
        return Optional.ofNullable(samples.get(node))
                .filter(sample -> clock.millis() - sample.arrivedMillis() < MAX_AGE_MILLIS);
    }
}
