package org.azureshed.transport;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Limits on the connections and open requests of a transport.
 *
 * @param maxOutbound connections opened by this node; at the limit, the least recently used one
 *     without open requests is evicted
 * @param maxInbound connections accepted from peers; further ones are closed on arrival
 * @param maxPending open requests on a connection, and messages queued until it is open
 * @param idle time without traffic after which an outbound connection is closed
 * @param connectTimeout longest time to open a connection
 */
public record TransportLimits(
        int maxOutbound, int maxInbound, int maxPending, Duration idle, Duration connectTimeout) {
    /** Maximum size of a message in bytes, without the frame length. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /** Rejects limits that are not positive. */
    public TransportLimits {
        checkArgument(maxOutbound > 0, "maxOutbound must be above 0");
        checkArgument(maxInbound > 0, "maxInbound must be above 0");
        checkArgument(maxPending > 0, "maxPending must be above 0");
        checkArgument(idle.toMillis() > 0, "idle must be at least 1 ms");
        checkArgument(connectTimeout.toMillis() > 0, "connectTimeout must be at least 1 ms");
    }

    /**
     * Returns limits for a node with 256 MB of memory.
     *
     * <p>An entry side has connections to at most 128 key range owners in addition to its gossip
     * peers. An owner may have one connection from each of 2,400 nodes.
     *
     * @return the limits
     */
    public static TransportLimits defaults() {
        return new TransportLimits(
                512, 4_096, 1_024, Duration.ofSeconds(30), Duration.ofMillis(500));
    }

    /**
     * Idle timeout of accepted connections. It exceeds the timeout of outbound connections, so the
     * requesting side closes first and does not send a request on a connection being closed.
     *
     * @return twice {@link #idle}
     */
    Duration inboundIdle() {
        return idle.multipliedBy(2);
    }
}
