package org.azureshed.sidecar;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;
import org.azureshed.host.QueuePolicy;
import org.azureshed.model.Endpoint;
import org.azureshed.quota.QuotaBounds;

/**
 * Settings of one node process.
 *
 * @param node name of the node
 * @param availabilityZone its availability zone
 * @param service service of the local target
 * @param advertisedIp IP address under which other nodes reach this one
 * @param targetAddress endpoint of the local target
 * @param callerListen endpoint on which the entry side listens
 * @param hostListen endpoint on which the host side listens
 * @param healthListen endpoint for health checks
 * @param heartbeatListen endpoint for the local target's heartbeats
 * @param peerListen endpoint for messages of other nodes and for metrics
 * @param storeAddress endpoint of the store
 * @param heartbeatMillis interval of the local target's heartbeats
 * @param graceMillis grace period from SIGTERM to the end of the process
 * @param retryRatio retry budget of the fleet as retries per request, 0 to 1
 * @param retrySlack retries allowed per window in addition to the ratio
 * @param retryWindowSeconds window of the retry budget in seconds
 * @param quotaBounds tolerated excess over the limits of organisations; empty if the fleet applies
 *     no such limits
 * @param queuePolicy which requests wait for a slot of the local target, and in which order
 * @param bodyMemoryBytes most bytes that the bodies of requests may hold in memory, at least {@link
 *     #MIN_BODY_MEMORY_BYTES}; half of it each for the entry side and the host side
 * @param maxDescriptors most open descriptors that the platform allows; {@link #NO_LIMIT} if it
 *     states none
 * @param firstStart whether the whole fleet starts for the first time
 */
public record SidecarSettings(
        String node,
        String availabilityZone,
        String service,
        String advertisedIp,
        Endpoint targetAddress,
        Endpoint callerListen,
        Endpoint hostListen,
        Endpoint healthListen,
        Endpoint heartbeatListen,
        Endpoint peerListen,
        Endpoint storeAddress,
        long heartbeatMillis,
        long graceMillis,
        double retryRatio,
        double retrySlack,
        double retryWindowSeconds,
        Optional<QuotaBounds> quotaBounds,
        QueuePolicy queuePolicy,
        long bodyMemoryBytes,
        long maxDescriptors,
        boolean firstStart) {
    /** Stands for a limit that the platform does not state. */
    public static final long NO_LIMIT = Long.MAX_VALUE;

    /** Bound on the memory for bodies where the platform states no memory limit. */
    public static final long DEFAULT_BODY_MEMORY_BYTES = 32L << 20;

    /** With less, hardly any body could be taken. */
    public static final long MIN_BODY_MEMORY_BYTES = 64L << 10;

    /** Part of the process's memory that bodies may hold, beside heap, program and answers. */
    private static final int BODY_MEMORY_DIVISOR = 10;

    /** Checks the memory for bodies. */
    public SidecarSettings {
        checkArgument(
                bodyMemoryBytes >= MIN_BODY_MEMORY_BYTES,
                "the memory for bodies must be at least %s bytes: %s",
                MIN_BODY_MEMORY_BYTES,
                bodyMemoryBytes);
    }

    /**
     * Returns the memory for bodies in a process of a given size.
     *
     * @param processBytes memory limit of the process in bytes
     * @return bytes for the bodies of requests
     */
    public static long bodyMemoryOf(long processBytes) {
        return processBytes / BODY_MEMORY_DIVISOR;
    }

    /**
     * Returns the address to which other nodes send their offers.
     *
     * @return the advertised IP address with the port of the host side
     */
    Endpoint advertisedHostAddress() {
        return new Endpoint(advertisedIp, hostListen.port());
    }
}
