package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Brings about, with whole nodes, what operators of similar systems reported. */
class OperatorReportsTest {
    static Stream<Arguments> copies() {
        return Stream.of("GET /read/", "POST /write/")
                .flatMap(
                        request ->
                                // At once, while the connection is idle, and with the next answer.
                                Stream.of(0L, 20L, 200L, -1L)
                                        .map(delay -> Arguments.of(request, delay)));
    }

    /** A second copy of an answer arrives on a connection that is in use again. */
    @ParameterizedTest(name = "{0}, copy after {1} ms")
    @MethodSource("copies")
    void callerNeverGetsTheCopyOfAnotherAnswer(String request, long delayMillis) throws Exception {
        String method = request.substring(0, request.indexOf(' '));
        String path = request.substring(request.indexOf('/')) + "a";
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.targets.forEach(
                    target -> target.behaviour(received -> new Behaviour.LateCopy(delayMillis)));
            for (int i = 0; i < 30; i++) {
                String id = "id-" + i;
                HttpResponse<String> response = fleet.request(0, method, path, id);
                // A copy may break a call whose outcome is then unknown, but is never its answer.
                assertTrue(
                        List.of(200, 502).contains(response.statusCode()),
                        () -> response + fleet.log());
                if (response.statusCode() == 200) {
                    assertEquals(id, response.body(), fleet::log);
                }
                assertTrue(fleet.executions(id) <= (method.equals("GET") ? 2 : 1));
                TimeUnit.MILLISECONDS.sleep(10);
            }
        }
    }

    static Stream<Arguments> repeatedAnswers() {
        return Stream.of(true, false)
                .flatMap(
                        echo ->
                                Stream.of(
                                        new Behaviour.AnswerAgain(503, false, echo),
                                        new Behaviour.AnswerAgain(429, false, echo),
                                        new Behaviour.AnswerAgain(421, false, echo),
                                        new Behaviour.AnswerAgain(500, true, echo),
                                        new Behaviour.AnswerAgain(504, true, echo),
                                        new Behaviour.AnswerAgain(404, true, echo)))
                .map(Arguments::of);
    }

    /**
     * A target writes an earlier answer once more on a connection that is in use again. The copy is
     * not taken for the answer to the next request: that one is neither said not to have run, nor
     * sent to a second target, nor reported as failed.
     */
    @ParameterizedTest
    @MethodSource("repeatedAnswers")
    void copyOfAnEarlierAnswerIsNotBelieved(Behaviour.AnswerAgain again) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.targets.forEach(target -> target.behaviour(request -> again));
            List<String> faults = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                String id = "id-" + i;
                int status = fleet.request(0, "POST", "/write/a", id).statusCode();
                long executions = fleet.executions(id);
                boolean saysNotRun = List.of(408, 421, 429, 503).contains(status);
                if (executions > 1 || saysNotRun && executions > 0) {
                    faults.add(id + ": status " + status + ", " + executions + " executions");
                } else if (again.executed()
                        && status == again.status()
                        && fleet.targets.stream().noneMatch(t -> t.firstAnswers().contains(id))) {
                    faults.add(id + ": status " + status + " of another request");
                }
            }
            assertEquals(List.of(), faults, fleet::log);
        }
    }

    /** A target sends no heartbeats for longer than the time after which it counts as gone. */
    @Test
    void workOfASilentTargetIsNeitherRepeatedNorGivenUp() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.targets.forEach(
                    target -> target.behaviour(request -> new Behaviour.Answer(200, 9_000, "ok")));
            // The fleet sends one heartbeat at its start; targets are gone 6 s later.
            HttpResponse<String> response = fleet.request(0, "POST", "/long/a", "id-1");
            assertEquals(200, response.statusCode(), fleet::log);
            assertEquals(1, fleet.executions("id-1"), fleet::log);
            assertTrue(fleet.log().contains("condition=GONE") || goneByNow(fleet), fleet::log);
        }
    }

    private static boolean goneByNow(SidecarFleet fleet) throws Exception {
        return fleet.request(0, "GET", "/read/a", "id-2").statusCode() == 503;
    }

    /**
     * Load pattern: a target that has served well takes requests and answers none. Requests that
     * must not repeat are not sent to it any more while those before them still run.
     */
    @Test
    void requestsAvoidATargetThatHasBecomeMute() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop");
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            for (int i = 0; i < 8; i++) {
                fleet.request(i % 2, "POST", "/write/a", "warm-" + i);
            }
            assertTrue(fleet.targets.stream().noneMatch(t -> t.executions().isEmpty()));
            fleet.targets.getFirst().behaviour(request -> new Behaviour.NoAnswer());
            fleet.targets.get(1).behaviour(request -> new Behaviour.Answer(200, 100, "ok"));
            int before = fleet.targets.getFirst().executions().size();
            for (int i = 0; fleet.targets.getFirst().executions().size() < before + 2; i++) {
                String id = "lost-" + i;
                callers.submit(() -> fleet.request(0, "POST", "/write/a", id));
                TimeUnit.MILLISECONDS.sleep(20);
            }
            TimeUnit.MILLISECONDS.sleep(700);
            int atMute = fleet.targets.getFirst().executions().size();
            for (int i = 0; i < 10; i++) {
                String id = "id-" + i;
                int status = fleet.request(0, "POST", "/write/a", id).statusCode();
                assertEquals(200, status, fleet::log);
            }
            assertEquals(atMute, fleet.targets.getFirst().executions().size(), fleet::log);
        }
    }

    /** The node beside a target ends while the target runs a request, so the answer is lost. */
    @ParameterizedTest
    @MethodSource("lostAnswers")
    void lostAnswerIsNotTakenForARequestThatDidNotRun(
            String method, String path, List<Integer> statuses, int maxExecutions)
            throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("other", "shop", "shop");
                ExecutorService caller = Executors.newVirtualThreadPerTaskExecutor()) {
            fleet.targets.forEach(
                    target -> target.behaviour(request -> new Behaviour.Answer(200, 1_000, "ok")));
            Future<HttpResponse<String>> response =
                    caller.submit(() -> fleet.request(0, method, path, "id-1"));
            SidecarFleet.await("the request runs", () -> fleet.executions("id-1") == 1);
            int host = fleet.targets.get(1).executions().isEmpty() ? 2 : 1;
            fleet.nodes.get(host).close();
            int status = response.get().statusCode();
            assertTrue(statuses.contains(status), () -> status + fleet.log());
            TimeUnit.MILLISECONDS.sleep(1_500);
            assertTrue(fleet.executions("id-1") <= maxExecutions, fleet::log);
        }
    }

    static Stream<Arguments> lostAnswers() {
        return Stream.of(
                // Work that must not repeat: its caller learns that the outcome is unknown.
                Arguments.of("POST", "/write/a", List.of(502, 504), 1),
                // Repeatable work is repeated once, on the other target.
                Arguments.of("GET", "/read/a", List.of(200), 2));
    }
}
