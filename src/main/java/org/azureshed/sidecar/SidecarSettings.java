package org.azureshed.sidecar;

/**
 * Settings of one node process.
 *
 * @param node name of the node
 * @param availabilityZone its availability zone
 * @param service service of the local target
 * @param advertisedIp IP address under which other nodes reach this one
 * @param targetAddress IP address and port of the local target
 * @param callerListen IP address and port on which the entry side listens
 * @param hostListen IP address and port on which the host side listens
 * @param healthListen IP address and port for health checks
 * @param heartbeatListen IP address and port for the local target's heartbeats
 * @param peerListen IP address and port for messages of other nodes and for metrics
 * @param storeAddress IP address and port of the store
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
        String targetAddress,
        String callerListen,
        String hostListen,
        String healthListen,
        String heartbeatListen,
        String peerListen,
        String storeAddress,
        long heartbeatMillis,
        long graceMillis,
        double retryRatio,
        double retrySlack,
        double retryWindowSeconds,
        boolean firstStart) {
    /**
     * Returns the address to which other nodes send their offers.
     *
     * @return IP address and port
     */
    String advertisedHostAddress() {
        return advertisedIp + hostListen.substring(hostListen.lastIndexOf(':'));
    }
}
