package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.azureshed.directory.Heartbeat;
import org.azureshed.json.OddJson;
import org.azureshed.model.Endpoint;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.sidecar.FleetStore;
import org.azureshed.sidecar.TargetListener;
import org.azureshed.telemetry.DecisionLog;

/** Properties of the platform's decoders: for any bytes a value or the documented error. */
class DecoderPropertyTest {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String OBJECT =
            "{\"metadata\":{\"name\":\"n\",\"revision\":7},\"specification\":{\"a\":[1,{}]},"
                    + "\"status\":{\"b\":1}}";
    private static final String GOOD =
            "{\"metadata\":{\"name\":\"good\",\"revision\":8},\"specification\":{}}";
    private static Path settings;
    private static DecisionLog log;

    private final PlatformStore store =
            new PlatformStore(null, Endpoint.parse("127.0.0.1:1"), result -> {});

    @BeforeContainer
    static void createFile() throws IOException {
        settings = Files.createTempFile("settings", ".json");
        log = new DecisionLog(new ByteArrayOutputStream(), "test");
    }

    @AfterContainer
    static void deleteFile() throws IOException {
        Files.delete(settings);
        log.close();
    }

    @Provide
    Arbitrary<byte[]> listings() {
        return OddJson.variants("{\"items\":[" + OBJECT + "],\"hasMore\":true,\"at\":9}");
    }

    @Property
    void listingIsReadOrMalformed(@ForAll("listings") byte[] body) {
        try {
            FleetStore.Result.Done done = (FleetStore.Result.Done) store.page("kind", body);
            assertTrue(done.entries().stream().noneMatch(entry -> entry.name().isEmpty()));
        } catch (IOException malformed) {
            // The whole response is malformed; the caller asks again.
        }
    }

    @Provide
    Arbitrary<byte[]> watches() {
        return OddJson.variants(
                "{\"events\":[{\"removed\":false,\"object\":" + OBJECT + "}],\"at\":9}");
    }

    @Property
    void watchIsReadOrMalformed(@ForAll("watches") byte[] body) {
        try {
            store.events("kind", body);
        } catch (IOException malformed) {
            // As above.
        }
    }

    @Provide
    Arbitrary<byte[]> objects() {
        return OddJson.variants(OBJECT);
    }

    /** An odd object whose brackets match leaves its neighbours readable. */
    @Property
    void neighboursOfAnOddObjectAreRead(@ForAll("objects") byte[] odd) throws IOException {
        String text = new String(odd, java.nio.charset.StandardCharsets.UTF_8);
        String page = "{\"items\":[" + GOOD + "," + text + "," + GOOD + "],\"at\":9}";
        FleetStore.Result.Done done;
        try {
            done = (FleetStore.Result.Done) store.page("kind", page.getBytes());
        } catch (IOException unbalanced) {
            return;
        }
        long read = done.entries().stream().filter(entry -> entry.name().equals("good")).count();
        assertEquals(2, read);
    }

    @Provide
    Arbitrary<byte[]> configurations() {
        return OddJson.variants(
                ProtocolRequests.configuration(
                                3,
                                List.of(
                                        new ProtocolRequests.RouteSpec(
                                                "/a/", "idempotent", "shop", 4_000)))
                        .toString());
    }

    @Property
    void configurationIsReadOrIllegal(@ForAll("configurations") byte[] body) {
        try {
            ConfigurationDecoder.decode(JSON.readTree(body));
        } catch (IOException | IllegalArgumentException malformed) {
            // The former configuration stays in force.
        }
    }

    @Provide
    Arbitrary<byte[]> heartbeats() {
        return OddJson.variants(
                ProtocolRequests.heartbeat("127.0.0.1:8080", "shop", 4, "ready", 1, 1));
    }

    @Property
    void heartbeatIsAppliedOrRejected(@ForAll("heartbeats") byte[] body, @ForAll String id) {
        List<Integer> statuses = new ArrayList<>();
        HeartbeatHandler handler = new HeartbeatHandler(new Acknowledging(), log);
        for (String method : List.of("PUT", "DELETE")) {
            handler.handle(method, "/instances/" + id, body, reply -> statuses.add(reply.status()));
        }
        assertEquals(2, statuses.size());
        assertTrue(statuses.stream().allMatch(status -> List.of(200, 400, 404).contains(status)));
    }

    private static final class Acknowledging implements TargetListener {
        @Override
        public void heartbeat(Heartbeat heartbeat, Runnable acknowledge) {
            acknowledge.run();
        }

        @Override
        public void departed(String id, long startMillis, Runnable acknowledge) {
            acknowledge.run();
        }
    }

    @Provide
    Arbitrary<byte[]> settingsFiles() {
        return OddJson.variants(SettingsDecoderTest.VALID);
    }

    @Property
    void settingsAreReadOrIllegal(@ForAll("settingsFiles") byte[] content) throws IOException {
        Files.write(settings, content);
        try {
            SettingsDecoder.read(settings, Map.of());
        } catch (IOException | IllegalArgumentException malformed) {
            // The process ends with this message, or keeps its former settings on a reload.
        }
    }
}
