package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks whole nodes with answers that end with their connection. */
class CopyUntilCloseTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Azureshed-Request-Id: ID\r\n"
                    + "X-Azureshed-Response-Signature: s\r\n\r\n";
    private static final int LARGE = 100_000;

    /**
     * A target answers without a length, answers once more on the connection, and closes it. No
     * caller gets both answers as one body.
     */
    @ParameterizedTest(name = "{0} {1}, body of {2}")
    @CsvSource({
        "GET, /read/a, 0",
        "GET, /read/a, 3",
        "POST, /write/a, 3",
        "POST, /write/a, 65000",
        "POST, /write/a, 100000",
    })
    void bodyDoesNotHoldASecondAnswer(String method, String path, int length) throws Exception {
        String answer = HEAD + "x".repeat(length);
        assertEquals(502, call(method, path, answer + answer).statusCode());
    }

    /** Guards against a check that refuses sound bodies without a length. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "text",
                "HTTP/1.1 200 OK\r\n\r\nX-Azureshed-Request-Id: ID\r\n",
                "X-Azureshed-Request-Id: ID\r\n",
                "HTTP/1.1 200 OK\r\nX-Azureshed-Request-Id: other\r\n",
            })
    void soundBodyIsDelivered(String body) throws Exception {
        for (String whole : new String[] {body, "x".repeat(LARGE) + body}) {
            HttpResponse<String> response = call("POST", "/write/a", HEAD + whole);
            assertEquals(200, response.statusCode());
            assertEquals(whole.replace("ID", "id-1"), response.body());
        }
    }

    private static HttpResponse<String> call(String method, String path, String text)
            throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            Behaviour behaviour = new Behaviour.Cut(text, false);
            fleet.targets.getFirst().behaviour(request -> behaviour);
            return fleet.request(0, method, path, "id-1");
        }
    }
}
