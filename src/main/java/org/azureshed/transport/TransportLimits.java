package org.azureshed.transport;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Bounds on what the transport holds.
 *
 * @param maxOutbound connections opened by this node; the one unused for longest gives way
 * @param maxInbound connections accepted; further ones are closed at once
 * @param maxPending open requests on a connection
 * @param idle a connection without messages for this long is closed
 * @param connectTimeout longest time to open a connection
 */
public record TransportLimits(
        int maxOutbound, int maxInbound, int maxPending, Duration idle, Duration connectTimeout) {
    /** Largest message in bytes. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /** Checks the fields. */
    public TransportLimits {
        checkArgument(maxOutbound > 0, "maxOutbound must be above 0");
        checkArgument(maxInbound > 0, "maxInbound must be above 0");
        checkArgument(maxPending > 0, "maxPending must be above 0");
        checkArgument(idle.toMillis() > 0, "idle must be at least 1 ms");
        checkArgument(connectTimeout.toMillis() > 0, "connectTimeout must be at least 1 ms");
    }

    /**
     * Limits for a node of 256 MB.
     *
     * <p>An entry side keeps connections to at most 128 key range owners beside gossip; each of
     * 2,400 nodes may have one to an owner.
     *
     * @return the limits
     */
    public static TransportLimits defaults() {
        return new TransportLimits(
                512, 4_096, 1_024, Duration.ofSeconds(30), Duration.ofMillis(500));
    }

    /**
     * Idle time of accepted connections. It is longer than that of opened ones, so that the side
     * that sends requests closes first and no request meets a connection that is just closing.
     *
     * @return twice {@link #idle}
     */
    Duration inboundIdle() {
        return idle.multipliedBy(2);
    }
}
