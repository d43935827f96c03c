package org.azureshed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.azureshed.standin.SampleTarget;
import org.junit.jupiter.api.Test;

/** Two nodes whose entry sides send requests to each other's host sides. */
class CrossTrafficTest {
    private static final int REQUESTS_PER_NODE = 60;
    private static final int SLOTS = 200;
    private static final long WORK_MILLIS = 300;

    /**
     * Guards against a deadlock in which entry sides occupy all threads of their nodes and no host
     * side has a thread left to run the requests that they wait for.
     */
    @Test
    void entrySidesLeaveThreadsToHostSides() throws Exception {
        try (FleetInProcess fleet = new FleetInProcess();
                HttpClient client = HttpClient.newHttpClient()) {
            List<NodeSettings> nodes = List.of(fleet.startNode("a"), fleet.startNode("b"));
            List<SampleTarget> targets = new ArrayList<>();
            for (NodeSettings node : nodes) {
                targets.add(target(fleet, node));
            }
            List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
            for (int i = 0; i < REQUESTS_PER_NODE; i++) {
                for (NodeSettings node : nodes) {
                    URI export = URI.create("http://127.0.0.1:" + node.entryPort() + "/exports/1");
                    HttpRequest request =
                            HttpRequest.newBuilder(export)
                                    .version(HttpClient.Version.HTTP_1_1)
                                    .build();
                    answers.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
                }
            }
            List<Integer> statuses =
                    answers.stream().map(answer -> answer.join().statusCode()).toList();
            assertEquals(Collections.nCopies(answers.size(), 200), statuses);
            for (SampleTarget target : targets) {
                target.stop();
            }
        }
    }

    private static SampleTarget target(FleetInProcess fleet, NodeSettings node) throws Exception {
        String id = "reading-" + node.id().value();
        URI admin = URI.create("http://127.0.0.1:" + node.adminPort());
        SampleTarget target =
                new SampleTarget(
                        new SampleTarget.Settings(
                                id, "reading", "127.0.0.1", 0, SLOTS, WORK_MILLIS, 0, admin));
        target.start();
        fleet.announce(node, id, "reading", target.port(), SLOTS);
        return target;
    }
}
