package org.azureshed.node;

import static com.google.common.base.Preconditions.checkArgument;

import java.net.URI;
import java.util.List;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/**
 * Settings of one node.
 *
 * @param id name of the node, unique in the fleet
 * @param region region of the VM
 * @param availabilityZone availability zone of the VM
 * @param address IP address that other nodes and callers use
 * @param entryPort port for callers
 * @param hostPort port for requests of other nodes
 * @param controlPort port for control messages of other nodes
 * @param adminAddress IP address that the admin listener binds to
 * @param adminPort port for operators, metrics and target announcements
 * @param platform base URL of the platform's object API
 * @param advertisedHostPort port that other nodes send requests to; differs from {@code hostPort}
 *     if the network maps ports
 * @param advertisedControlPort port that other nodes send control messages to; may differ from
 *     {@code controlPort} in the same way
 * @param seeds control addresses of other nodes, contacted while the platform is unavailable
 */
public record NodeSettings(
        NodeId id,
        String region,
        String availabilityZone,
        String address,
        int entryPort,
        int hostPort,
        int controlPort,
        String adminAddress,
        int adminPort,
        URI platform,
        int advertisedHostPort,
        int advertisedControlPort,
        List<Endpoint> seeds) {
    /** Validates the settings. */
    public NodeSettings {
        seeds = List.copyOf(seeds);
        checkArgument(!region.isBlank(), "the region is empty; set --region");
        checkArgument(!availabilityZone.isBlank(), "the availability zone is empty; set --zone");
        checkPort("--entry-port", entryPort);
        checkPort("--host-port", hostPort);
        checkPort("--control-port", controlPort);
        checkPort("--admin-port", adminPort);
        checkPort("--advertised-host-port", advertisedHostPort);
        checkPort("--advertised-control-port", advertisedControlPort);
        boolean distinct =
                java.util.stream.IntStream.of(entryPort, hostPort, controlPort, adminPort)
                                .distinct()
                                .count()
                        == 4;
        checkArgument(distinct, "two ports of the node are equal; give each its own");
        checkArgument(
                "http".equals(platform.getScheme()),
                "--platform is \"%s\"; give an http URL such as http://10.0.0.5:7000",
                platform);
    }

    private static void checkPort(String flag, int port) {
        checkArgument(
                port > 0 && port < 65_536, "%s is %s; give a port from 1 to 65535", flag, port);
    }

    Endpoint controlListener() {
        return new Endpoint(address, controlPort);
    }

    /**
     * The record that the node publishes when it starts.
     *
     * @param incarnation start time in milliseconds since the epoch
     * @return a record without targets
     */
    NodeInfo initialInfo(long incarnation) {
        return new NodeInfo(
                id,
                region,
                availabilityZone,
                new Endpoint(address, entryPort),
                new Endpoint(address, advertisedHostPort),
                new Endpoint(address, advertisedControlPort),
                incarnation,
                1,
                false,
                List.of());
    }
}
