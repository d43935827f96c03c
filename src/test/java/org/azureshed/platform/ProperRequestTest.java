package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;
import org.azureshed.platform.standin.TargetStandIn.Request;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that whole nodes serve requests in every form that a sound caller may send. */
class ProperRequestTest {
    private static final int LIMIT_BYTES = 60_000;

    /** Guards against a 404 for a route that exists, because its name is written another way. */
    @ParameterizedTest(name = "{0} at {1}")
    @CsvSource({
        "http://shop.example/write/a?b=c, shop.example",
        "HTTP://SHOP.example/write/a?b=c, shop.example",
        "http://shop.example:80/write/a?b=c, shop.example:80",
        "https://shop.example./write/a?b=c, other.example",
        "http://user@shop.example/write/a?b=c, shop.example",
        "/write/a?b=c, shop.example.",
        "/write/a?b=c, SHOP.Example",
        "/write/a?b=c, shop.example.:18304",
    })
    void routeIsFoundByEachFormOfItsName(String target, String host) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            assertServed(fleet, head(target, host, ""));
            assertEquals("POST /write/a?b=c HTTP/1.1", onlyExecution(fleet).line());
        }
    }

    static Stream<String> largeHeads() {
        return Stream.of(
                head("/write/a", "shop.example", "X-Large: " + "x".repeat(59_000) + "\r\n"),
                head("/write/a", "shop.example", "X-Many: 0123456789\r\n".repeat(2_900)),
                head("/write/" + "x".repeat(59_000), "shop.example", ""),
                head("/write/a", "shop.example", "X-Large: " + "x".repeat(20_000) + "\r\n"));
    }

    /** Guards against a 431 for a head that the limit of the configuration allows. */
    @ParameterizedTest
    @MethodSource("largeHeads")
    void headWithinTheConfiguredLimitIsServed(String head) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            limitHeads(fleet, 2, LIMIT_BYTES);
            assertServed(fleet, head);
            Request received = onlyExecution(fleet);
            assertEquals(head.substring(0, head.indexOf('\r')), received.line());
            if (head.contains("X-Large: ")) {
                String sent = head.substring(head.indexOf("xxx"), head.lastIndexOf("xxx") + 3);
                assertEquals(sent, received.headers().get("x-large"));
            }
        }
    }

    /** Guards against a head that is served although the configuration limits heads to less. */
    @ParameterizedTest
    @MethodSource("largeHeads")
    void headAboveTheConfiguredLimitIsRefused(String head) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            limitHeads(fleet, 2, 4_096);
            assertEquals("431", status(fleet, head), fleet::log);
            SidecarFleet.await("the id in the log", () -> fleet.log().contains("id=sound"));
            assertEquals(0, fleet.targets.getFirst().executions().size());
        }
    }

    /** Guards against bytes beyond ASCII in a path or query that are refused or changed. */
    @ParameterizedTest
    @ValueSource(strings = {"/write/caf\u00c3\u00a9", "/write/\u0080", "/write/a?b=\u00ff"})
    void targetBeyondAsciiArrivesUnchanged(String target) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            assertServed(fleet, head(target, "shop.example", ""));
            assertEquals("POST " + target + " HTTP/1.1", onlyExecution(fleet).line());
        }
    }

    /**
     * Guards against a request that a node without a configuration refuses as wrong; what the
     * configuration allows is not known there.
     */
    @ParameterizedTest
    @ValueSource(ints = {100, 20_000})
    void nodeWithoutAConfigurationRefusesNothingAsWrong(int headerBytes) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet()) {
            fleet.store.fault(org.azureshed.platform.standin.StoreStandIn.Fault.BUSY);
            fleet.start(0, "shop", true);
            String header = "X-Large: " + "x".repeat(headerBytes) + "\r\n";
            assertEquals("503", status(fleet, head("/write/a", "shop.example", header)));
            String longBody =
                    head("/write/a", "shop.example", "")
                            .replace("Content-Length: 3", "Content-Length: 60000000");
            assertEquals("503", status(fleet, longBody));
        }
    }

    private static void limitHeads(SidecarFleet fleet, long version, int bytes) throws Exception {
        ObjectNode configuration = SidecarFleet.configuration(version);
        configuration
                .path("resources")
                .forEach(
                        resource -> {
                            if (resource.path("resourceType").asText().equals("limits")) {
                                ((ObjectNode) resource.path("specification"))
                                        .put("maxHeaderBytes", bytes);
                            }
                        });
        fleet.store.put("config", "main", configuration);
        SidecarFleet.await(
                "version " + version,
                () ->
                        fleet.log().contains("configuration_in_force")
                                && fleet.log().contains("version=" + version + " "));
    }

    private static String head(String target, String host, String headers) {
        return "POST "
                + target
                + " HTTP/1.1\r\nHost: "
                + host
                + "\r\n"
                + headers
                + "X-Azureshed-Request-Id: sound\r\nContent-Length: 3\r\n\r\nabc";
    }

    private static void assertServed(SidecarFleet fleet, String request) throws Exception {
        // A target that has been silent for four intervals is not used.
        assertEquals(200, fleet.heartbeat(0, "shop", "ready", 1));
        String status = status(fleet, request);
        if (!status.equals("200")) {
            SidecarFleet.await("the log line", () -> fleet.log().contains("event=request "));
        }
        assertEquals("200", status, fleet::log);
    }

    private static Request onlyExecution(SidecarFleet fleet) {
        assertEquals(1, fleet.targets.getFirst().executions().size());
        return fleet.targets.getFirst().executions().getFirst();
    }

    /** Sends a request and returns the status of its answer; empty if none comes. */
    private static String status(SidecarFleet fleet, String request) throws IOException {
        try (Socket socket = new Socket(fleet.ip(0), SidecarFleet.ENTRY_PORT)) {
            socket.setSoTimeout(3_000);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            byte[] statusLine = in.readNBytes("HTTP/1.1 200".length());
            String text = new String(statusLine, StandardCharsets.ISO_8859_1);
            return text.substring(text.indexOf(' ') + 1);
        }
    }
}
