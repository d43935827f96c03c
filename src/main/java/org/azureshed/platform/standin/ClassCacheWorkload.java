package org.azureshed.platform.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

/**
 * Workload for one node while the build records its class data sharing (CDS) archive. Writes the
 * node's settings file, runs test doubles of the store and the target, and sends requests of each
 * kind.
 */
public final class ClassCacheWorkload {
    private static final String IP = "127.0.0.1";
    private static final String KEY = "training-key";
    private static final int REQUESTS = 400;
    private static final int START_ATTEMPTS = 600;
    private static final int MIN_PORT = 10_000;
    private static final int PORT_RANGE = 20_000;

    /**
     * Ports used, as offsets from the base port: 0 inbound, 1 target, 2 outbound, 3 health, 4
     * heartbeats, 5 and 6 internal.
     */
    private static final int PORT_COUNT = 7;

    private ClassCacheWorkload() {}

    /**
     * Runs the workload.
     *
     * @param args one element, the path of the settings file to write
     * @throws Exception if the node does not accept heartbeats within 30 s, or a call fails
     */
    public static void main(String[] args) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        int basePort = findFreePorts();
        String targetAddress = IP + ':' + (basePort + 1);
        try (StoreStandIn store = new StoreStandIn(IP, 0);
                TargetStandIn target =
                        new TargetStandIn(IP, basePort + 1, "i-1", ClassCacheWorkload::behaviour)) {
            List<ProtocolRequests.RouteSpec> routes =
                    List.of(
                            new ProtocolRequests.RouteSpec("/read/", "idempotent", "s", 3_000),
                            new ProtocolRequests.RouteSpec("/write/", "non_idempotent", "s", 3_000),
                            new ProtocolRequests.RouteSpec("/file/", "download", "s", 3_000));
            store.put(
                    "config", "main", withOrganisation(ProtocolRequests.configuration(1, routes)));
            Files.writeString(
                    Path.of(args[0]),
                    settings(basePort, targetAddress, store.address()).toString());
            sendRequests(basePort, targetAddress);
            store.put(
                    "config", "main", withOrganisation(ProtocolRequests.configuration(2, routes)));
            TimeUnit.MILLISECONDS.sleep(500);
        }
    }

    /** Adds an organisation whose limit the workload does not reach. */
    private static ObjectNode withOrganisation(ObjectNode configuration) {
        ObjectNode resource =
                ((ArrayNode) configuration.get("resources"))
                        .addObject()
                        .put("resourceType", "tenants");
        resource.putObject("metadata").put("name", "o");
        resource.putObject("specification")
                .put("ratePerS", 100_000)
                .put("burst", 100_000)
                .putArray("apiKeys")
                .add(KEY);
        return configuration;
    }

    private static TargetStandIn.Behaviour behaviour(TargetStandIn.Request request) {
        int bucket = request.requestId().isEmpty() ? 0 : request.requestId().hashCode() & 31;
        return switch (bucket) {
            case 1 -> new TargetStandIn.Behaviour.Shed();
            case 2 -> new TargetStandIn.Behaviour.Reset();
            case 3 -> new TargetStandIn.Behaviour.Answer(500, 1, "error");
            default -> new TargetStandIn.Behaviour.Answer(200, 1, "answer ".repeat(300));
        };
    }

    private static void sendRequests(int basePort, String targetAddress) throws Exception {
        String control = IP + ':' + (basePort + 4);
        String entry = IP + ':' + (basePort + 2);
        try (HttpClient client = HttpClient.newHttpClient()) {
            String heartbeat = ProtocolRequests.heartbeat(targetAddress, "s", 8, "ready", 1, 1);
            for (int attempt = 0; ; attempt++) {
                try {
                    ProtocolRequests.call(client, "PUT", control, "/instances/i-1", heartbeat);
                    break;
                } catch (IOException e) {
                    if (attempt == START_ATTEMPTS) {
                        throw e;
                    }
                    TimeUnit.MILLISECONDS.sleep(50);
                }
            }
            TimeUnit.SECONDS.sleep(1);
            String[] paths = {"/read/a", "/write/b?c=1", "/file/d", "/none/"};
            for (int i = 0; i < REQUESTS; i++) {
                String path = paths[i % paths.length];
                boolean write = path.startsWith("/write/");
                ProtocolRequests.call(
                        client,
                        write ? "POST" : "GET",
                        entry,
                        path,
                        write ? "content" : "",
                        "Host",
                        ProtocolRequests.HOST,
                        "X-Azureshed-Request-Id",
                        "r" + i,
                        "X-Azureshed-Deadline-Ms",
                        "3000",
                        "X-Azureshed-Credential",
                        KEY);
            }
            ProtocolRequests.call(client, "GET", IP + ':' + (basePort + 5), "/metrics", "");
            ProtocolRequests.call(client, "GET", IP + ':' + (basePort + 3), "/readiness", "");
            String draining = ProtocolRequests.heartbeat(targetAddress, "s", 8, "draining", 2, 1);
            ProtocolRequests.call(client, "PUT", control, "/instances/i-1", draining);
            ProtocolRequests.call(client, "DELETE", control, "/instances/i-1", "");
        }
    }

    private static ObjectNode settings(int basePort, String targetAddress, String store) {
        ObjectNode settings =
                new ObjectMapper()
                        .createObjectNode()
                        .put("node", "training-1")
                        .put("ip", IP)
                        .put("zone", "a")
                        .put("service", "s")
                        .put("appAddress", targetAddress)
                        .put("heartbeatIntervalMs", 1_500)
                        .put("bootstrap", true);
        settings.putObject("listen")
                .put("inbound", IP + ':' + basePort)
                .put("outbound", IP + ':' + (basePort + 2))
                .put("ready", IP + ':' + (basePort + 3))
                .put("control", IP + ':' + (basePort + 4));
        settings.putArray("internalPorts").add(basePort + 5).add(basePort + 6);
        settings.putObject("platform").put("address", store);
        settings.putArray("bounds")
                .add("graceS=6")
                .add("budgetRatio=0.2")
                .add("budgetSlack=60")
                .add("budgetWindowS=10")
                .add("quotaWindowS=5")
                .add("quotaOver=0.1")
                .add("quotaSlack=20");
        return settings;
    }

    /** Returns the first of {@link #PORT_COUNT} free ports below the usual ephemeral port range. */
    private static int findFreePorts() {
        while (true) {
            int basePort = MIN_PORT + ThreadLocalRandom.current().nextInt(PORT_RANGE);
            if (IntStream.range(basePort, basePort + PORT_COUNT)
                    .allMatch(ClassCacheWorkload::isFree)) {
                return basePort;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
