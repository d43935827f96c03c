package org.azureshed.sidecar;

/**
 * Settings of one process.
 *
 * @param node name of the node
 * @param availabilityZone its availability zone
 * @param service service of the target beside it
 * @param advertisedIp IP address under which other nodes reach this one
 * @param targetAddress IP address and port of the target
 * @param callerListen IP address and port for callers
 * @param hostListen IP address and port for offers of other nodes
 * @param healthListen IP address and port for health checks
 * @param heartbeatListen IP address and port for the target's heartbeats
 * @param peerListen IP address and port for other nodes' messages and for metrics
 * @param storeAddress IP address and port of the store
 * @param heartbeatMillis interval of the target's heartbeats
 * @param graceMillis time from SIGTERM to the end of the process
 * @param retryRatio retries per request that the fleet may send, 0 to 1
 * @param retrySlack retries beyond it in each window
 * @param retryWindowSeconds length of the window in seconds
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
     * Where other nodes send their offers.
     *
     * @return IP address and port
     */
    String advertisedHostAddress() {
        return advertisedIp + hostListen.substring(hostListen.lastIndexOf(':'));
    }
}
