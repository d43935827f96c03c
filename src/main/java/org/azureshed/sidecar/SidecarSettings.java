package org.azureshed.sidecar;

import org.azureshed.model.Endpoint;

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
        boolean firstStart) {
    /**
     * Returns the address to which other nodes send their offers.
     *
     * @return the advertised IP address with the port of the host side
     */
    Endpoint advertisedHostAddress() {
        return new Endpoint(advertisedIp, hostListen.port());
    }
}
