package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks whole nodes while targets stop at any byte of an answer and end the connection. */
class CutAnswerTest {
    private static final String BODY = "whole answer";
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nX-Azureshed-Request-Id: ID\r\n"
                    + "X-Azureshed-Response-Signature: s\r\n";
    private static final String LENGTH = HEAD + "Content-Length: 12\r\n\r\n" + BODY;
    private static final String CHUNKED =
            HEAD + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n" + "7\r\n answer\r\n0\r\n\r\n";
    private static final String UNTIL_CLOSE = HEAD + "Connection: close\r\n\r\n" + BODY;
    private static final String AFTER_INTERIM = "HTTP/1.1 100 Continue\r\n\r\n" + LENGTH;

    /** Attempts to reach a target that was just found failing. */
    private static final int MAX_ATTEMPTS = 400;

    static Stream<Arguments> answers() {
        return Stream.of(false, true)
                .flatMap(
                        reset ->
                                Stream.of(
                                        Arguments.of("with a length", LENGTH, reset),
                                        Arguments.of("in chunks", CHUNKED, reset),
                                        Arguments.of("until close", UNTIL_CLOSE, reset),
                                        Arguments.of("after interim", AFTER_INTERIM, reset)));
    }

    /**
     * A target stops within its answer, in the head or in the body, and closes or resets the
     * connection. No caller gets a success that is framed as whole, with an empty or a short body.
     */
    @ParameterizedTest(name = "{0}, reset: {2}")
    @MethodSource("answers")
    void cutAnswerIsNotDeliveredAsWhole(String name, String answer, boolean reset)
            throws Exception {
        // A body without a length ends where its connection is closed.
        boolean endsByClose = answer.equals(UNTIL_CLOSE) && !reset;
        int cuts = endsByClose ? answer.indexOf("\r\n\r\n") + 4 : answer.length();
        List<String> faults = new ArrayList<>();
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            for (int cut = 0; cut < cuts; cut++) {
                fleet.heartbeat(0, "shop", "ready", 1);
                Behaviour behaviour = new Behaviour.Cut(answer.substring(0, cut), reset);
                fleet.targets.getFirst().behaviour(request -> behaviour);
                String received = received(fleet, "id-" + cut + '-');
                if (!received.equals("502") && !received.equals("cut")) {
                    faults.add(cut + ": " + received);
                }
            }
            assertEquals(List.of(), faults, fleet::log);
        }
    }

    /** Returns what the caller of the first request that ran got. */
    private static String received(SidecarFleet fleet, String prefix) throws Exception {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            String id = prefix + i;
            String received = call(fleet, id);
            if (fleet.executions(id) > 0) {
                return received;
            }
            TimeUnit.MILLISECONDS.sleep(20);
        }
        return "did not run";
    }

    private static String call(SidecarFleet fleet, String id) throws Exception {
        try {
            HttpResponse<String> response = fleet.request(0, "POST", "/write/a", id);
            int status = response.statusCode();
            return status == 200 ? "200 \"" + response.body() + '"' : Integer.toString(status);
        } catch (IOException connectionEnded) {
            return "cut";
        }
    }
}
