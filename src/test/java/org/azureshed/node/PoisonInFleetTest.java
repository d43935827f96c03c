package org.azureshed.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.azureshed.model.TargetId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a request that crashes every target that runs it: without the fingerprint, a
 * caller that retries it through other nodes takes the whole service down.
 */
class PoisonInFleetTest {
    private static final int TARGETS = 5;
    private static final int PAGES = 30;

    private final Map<String, ScriptedTarget> targets = new ConcurrentHashMap<>();
    private final List<NodeSettings> entries = new ArrayList<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private FleetInProcess fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new FleetInProcess();
        for (String id : List.of("a", "b", "c")) {
            entries.add(fleet.startNode(id));
        }
        NodeSettings host = fleet.startNode("host");
        for (int i = 0; i < TARGETS; i++) {
            String id = "reading-" + i;
            ScriptedTarget target = new ScriptedTarget((head, socket) -> serve(id, head, socket));
            targets.put(id, target);
            fleet.announce(host, id, "reading", target.port(), 4);
        }
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        fleet.close();
        for (ScriptedTarget target : targets.values()) {
            target.close();
        }
    }

    /** A poison request makes the target close its listener and all its connections. */
    private boolean serve(String id, String head, Socket socket) throws IOException {
        if (head.startsWith("GET /chapters/poison")) {
            fleet.stopAnnouncing(id);
            targets.get(id).close();
            return false;
        }
        return ScriptedTarget.ok(socket, "page");
    }

    @Test
    void requestIsRefusedEverywhereAfterTwoCrashes() throws Exception {
        assertEquals(502, get(entries.get(0), "poison").statusCode());
        FleetInProcess.await(() -> fleet.crashes(entries.get(1)) == 1, "suspect at entry b");
        assertEquals(502, get(entries.get(1), "poison").statusCode());
        FleetInProcess.await(() -> fleet.crashes(entries.get(2)) == 2, "suspect at entry c");
        HttpResponse<String> third = get(entries.get(2), "poison");
        assertEquals(422, third.statusCode(), third.body());
        assertTrue(third.body().contains("poison-request"), third.body());
        assertEquals(
                2, poisonRequestsAtTargets(), "each crash must be one sending without a retry");
        for (NodeSettings entry : entries) {
            for (int i = 0; i < PAGES; i++) {
                assertEquals(200, get(entry, "page-" + i).statusCode());
            }
            for (String id : targets.keySet()) {
                assertEquals(100, fleet.weightPercent(entry, new TargetId(id)), id);
            }
        }
    }

    private long poisonRequestsAtTargets() {
        return targets.values().stream()
                .flatMap(target -> target.heads().stream())
                .filter(head -> head.startsWith("GET /chapters/poison"))
                .count();
    }

    private HttpResponse<String> get(NodeSettings entry, String chapter) throws Exception {
        URI uri = FleetInProcess.entry(entry).resolve("/chapters/" + chapter);
        return client.send(
                HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
    }
}
