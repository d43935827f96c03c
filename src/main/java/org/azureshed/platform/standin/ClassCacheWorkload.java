package org.azureshed.platform.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
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
 * Exercises one node while the build makes its class cache: writes a settings file, plays the store
 * and the target beside the node, and sends requests of each kind.
 */
public final class ClassCacheWorkload {
    private static final String IP = "127.0.0.1";
    private static final int REQUESTS = 400;
    private static final int START_ATTEMPTS = 600;
    private static final int LOWEST_PORT = 10_000;
    private static final int PORTS = 20_000;
    private static final int USED_PORTS = 7;

    private ClassCacheWorkload() {}

    /**
     * Runs the workload.
     *
     * @param args path of the settings file to write
     * @throws Exception if the node does not serve
     */
    public static void main(String[] args) throws Exception {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        int first = freePort();
        String app = IP + ':' + (first + 1);
        try (StoreStandIn store = new StoreStandIn(IP, 0);
                TargetStandIn target =
                        new TargetStandIn(IP, first + 1, "i-1", ClassCacheWorkload::behaviour)) {
            List<Sessions.RouteText> routes =
                    List.of(
                            new Sessions.RouteText("/read/", "idempotent", "s", 3_000),
                            new Sessions.RouteText("/write/", "non_idempotent", "s", 3_000),
                            new Sessions.RouteText("/file/", "download", "s", 3_000));
            store.put("config", "main", Sessions.configuration(1, routes));
            Files.writeString(Path.of(args[0]), settings(first, app, store.address()).toString());
            drive(first, app);
            store.put("config", "main", Sessions.configuration(2, routes));
            TimeUnit.MILLISECONDS.sleep(500);
        }
    }

    private static TargetStandIn.Behaviour behaviour(TargetStandIn.Request request) {
        int last = request.requestId().isEmpty() ? 0 : request.requestId().hashCode() & 31;
        return switch (last) {
            case 1 -> new TargetStandIn.Behaviour.Shed();
            case 2 -> new TargetStandIn.Behaviour.Reset();
            case 3 -> new TargetStandIn.Behaviour.Answer(500, 1, "error");
            default -> new TargetStandIn.Behaviour.Answer(200, 1, "answer ".repeat(300));
        };
    }

    private static void drive(int first, String app) throws Exception {
        String control = IP + ':' + (first + 4);
        String entry = IP + ':' + (first + 2);
        try (HttpClient client = HttpClient.newHttpClient()) {
            String beat = Sessions.heartbeat(app, "s", 8, "ready", 1, 1);
            for (int attempt = 0; ; attempt++) {
                try {
                    Sessions.call(client, "PUT", control, "/instances/i-1", beat);
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
                Sessions.call(
                        client,
                        write ? "POST" : "GET",
                        entry,
                        path,
                        write ? "content" : "",
                        "Host",
                        Sessions.HOST,
                        "X-Azureshed-Request-Id",
                        "r" + i,
                        "X-Azureshed-Deadline-Ms",
                        "3000");
            }
            Sessions.call(client, "GET", IP + ':' + (first + 5), "/metrics", "");
            Sessions.call(client, "GET", IP + ':' + (first + 3), "/readiness", "");
            String leaving = Sessions.heartbeat(app, "s", 8, "draining", 2, 1);
            Sessions.call(client, "PUT", control, "/instances/i-1", leaving);
            Sessions.call(client, "DELETE", control, "/instances/i-1", "");
        }
    }

    private static ObjectNode settings(int first, String app, String store) {
        ObjectNode settings =
                new ObjectMapper()
                        .createObjectNode()
                        .put("node", "training-1")
                        .put("ip", IP)
                        .put("zone", "a")
                        .put("service", "s")
                        .put("appAddress", app)
                        .put("heartbeatIntervalMs", 1_500)
                        .put("bootstrap", true);
        settings.putObject("listen")
                .put("inbound", IP + ':' + first)
                .put("outbound", IP + ':' + (first + 2))
                .put("ready", IP + ':' + (first + 3))
                .put("control", IP + ':' + (first + 4));
        settings.putArray("internalPorts").add(first + 5).add(first + 6);
        settings.putObject("platform").put("address", store);
        settings.putArray("bounds")
                .add("graceS=6")
                .add("budgetRatio=0.2")
                .add("budgetSlack=60")
                .add("budgetWindowS=10");
        return settings;
    }

    /** Finds a port that is free with the next ones, below those that systems hand out. */
    private static int freePort() {
        while (true) {
            int first = LOWEST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
            if (IntStream.range(first, first + USED_PORTS).allMatch(ClassCacheWorkload::free)) {
                return first;
            }
        }
    }

    private static boolean free(int port) {
        try (ServerSocket socket = new ServerSocket(port)) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }
}
