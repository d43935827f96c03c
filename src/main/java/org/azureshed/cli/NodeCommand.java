package org.azureshed.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Callable;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.node.NodeApplication;
import org.azureshed.node.NodeSettings;

/** Runs a node, the proxy process beside each target, until the process is stopped. */
@Command(name = "node", description = "Runs one node of the fleet")
public final class NodeCommand implements Callable<Integer> {
    @Required
    @Option(name = "--node-id", description = "name of the node, unique in the fleet")
    private String nodeId;

    @Required
    @Option(name = "--region", description = "region of the VM")
    private String region;

    @Required
    @Option(name = "--zone", description = "availability zone of the VM")
    private String zone;

    @Required
    @Option(name = "--address", description = "IP address for callers and other nodes")
    private String address;

    @Option(name = "--entry-port", description = "port for callers (default 8080)")
    private int entryPort = 8080;

    @Option(name = "--host-port", description = "port for requests of nodes (default 8081)")
    private int hostPort = 8081;

    @Option(name = "--control-port", description = "port for control messages (default 8082)")
    private int controlPort = 8082;

    @Option(name = "--admin-address", description = "IP address of the admin listener")
    private String adminAddress = "127.0.0.1";

    @Option(name = "--admin-port", description = "port of the admin listener (default 8083)")
    private int adminPort = 8083;

    @Option(
            name = "--advertised-host-port",
            description = "host port as other nodes reach it (default: the host port)")
    private Integer advertisedHostPort;

    @Option(
            name = "--advertised-control-port",
            description = "control port as other nodes reach it (default: the control port)")
    private Integer advertisedControlPort;

    @Required
    @Option(name = "--platform", description = "URL of the platform's object API")
    private String platform;

    @Option(
            name = "--seed",
            description =
                    "control address host:port of another node, queried while the platform is"
                            + " unavailable; may be repeated")
    private List<String> seeds = new ArrayList<>();

    @Override
    public Integer call() throws Exception {
        NodeSettings settings =
                new NodeSettings(
                        new NodeId(nodeId),
                        region,
                        zone,
                        address,
                        entryPort,
                        hostPort,
                        controlPort,
                        adminAddress,
                        adminPort,
                        URI.create(platform),
                        Objects.requireNonNullElse(advertisedHostPort, hostPort),
                        Objects.requireNonNullElse(advertisedControlPort, controlPort),
                        seeds.stream().map(Endpoint::parse).toList());
        new NodeApplication(settings).run();
        Thread.currentThread().join();
        return 0;
    }
}
