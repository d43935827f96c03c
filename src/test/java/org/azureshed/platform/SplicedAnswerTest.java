package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks whole nodes while targets send the beginning of an answer a second time. */
class SplicedAnswerTest {
    private static final int LANES = 3;
    private static final int REQUESTS_PER_LANE = 24;

    /** Far less than the 4 s of the routes: a run without a usable answer frees its slot. */
    private static final long MAX_MILLIS = 2_000;

    /** Time in us from an answer to its copy: at once, with the next answer, soon after. */
    private static final List<Long> DELAYS = List.of(0L, -1L, 50L);

    private static final List<String> CUTS =
            List.of(
                    "HTTP/1.1 20",
                    "HTTP/1.1 200 Sta",
                    "Status\r\n",
                    "Content-Ty",
                    "Content-Type: ",
                    "Content-Type: te",
                    "text/plain\r",
                    "text/plain\r\n",
                    "X-Azureshed-Request-Id: id",
                    "X-Azureshed-Request-Id: ID\r\nX-Azure",
                    "X-Azureshed-Response-Signature: s",
                    "Content-Length: 5\r\n",
                    "Content-Length: 5\r\n\r",
                    "Content-Length: 5\r\n\r\n",
                    "\r\n\r\nfirs");

    static Stream<Arguments> copies() {
        Stream<Arguments> cuts =
                CUTS.stream()
                        .flatMap(
                                cut -> DELAYS.stream().map(delay -> Arguments.of(500, cut, delay)));
        Stream<Arguments> otherStatuses =
                Stream.of(404, 504)
                        .flatMap(
                                status ->
                                        DELAYS.stream()
                                                .map(
                                                        delay ->
                                                                Arguments.of(
                                                                        status,
                                                                        "Content-Type: te",
                                                                        delay)));
        return Stream.concat(cuts, otherStatuses);
    }

    /**
     * A target answers twice and stops in the middle of the second head. No caller gets a success
     * where the target answered its request with a failure.
     */
    @ParameterizedTest(name = "status {0}, copy up to \"{1}\", {2} us later")
    @MethodSource("copies")
    void headOfTwoAnswersIsNotBelieved(int status, String cutAfter, long delayMicros)
            throws Exception {
        play(new Behaviour.PartialCopy(200, status, cutAfter, delayMicros));
    }

    static Stream<Arguments> refusals() {
        return Stream.of(503, 429, 421)
                .flatMap(status -> DELAYS.stream().map(delay -> Arguments.of(status, delay)));
    }

    /**
     * A target refuses a request twice and stops in the middle of the second refusal. No caller is
     * told that its request has not run although it has, and none runs at a second target.
     */
    @ParameterizedTest(name = "status {0}, copy {1} us later")
    @MethodSource("refusals")
    void headOfARefusalAndAnAnswerIsNotBelieved(int status, long delayMicros) throws Exception {
        play(
                new Behaviour.PartialCopy(
                        status, 200, "X-Azureshed-Not-Executed: 1\r\nX-A", delayMicros));
        play(new Behaviour.PartialCopy(status, 200, "Content-Type: te", delayMicros));
    }

    static Stream<Arguments> repeatedIds() {
        return Stream.of(200, 503)
                .flatMap(status -> Stream.of(0L, -1L).map(delay -> Arguments.of(status, delay)));
    }

    /**
     * A request comes a second time with the same identifier, and its target sends the whole answer
     * to the first one again. No caller gets that answer for the second run.
     */
    @ParameterizedTest(name = "status {0}, copy {1} us later")
    @MethodSource("repeatedIds")
    void copyOfTheAnswerToTheSameIdIsNotBelieved(int status, long delayMicros) throws Exception {
        Behaviour copy = new Behaviour.PartialCopy(status, 500, "first", delayMicros);
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            fleet.targets.forEach(target -> target.behaviour(request -> copy));
            for (int i = 0; i < 20; i++) {
                // Each identifier comes twice.
                String id = "id-" + i / 2;
                int received = fleet.request(0, "POST", "/write/a", id).statusCode();
                List<Integer> answered = fleet.targets.getFirst().statuses(id);
                assertEquals(answered.getLast(), received, () -> answered + fleet.log());
            }
        }
    }

    private static void play(Behaviour.PartialCopy behaviour) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop");
                ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
            fleet.targets.forEach(target -> target.behaviour(request -> behaviour));
            List<Future<List<String>>> lanes = new ArrayList<>();
            for (int lane = 0; lane < LANES; lane++) {
                String prefix = "id-" + lane + '-';
                lanes.add(callers.submit(() -> requests(fleet, behaviour, prefix)));
            }
            List<String> faults = new ArrayList<>();
            for (Future<List<String>> lane : lanes) {
                faults.addAll(lane.get());
            }
            assertEquals(List.of(), faults, () -> faults.size() + " faults\n" + fleet.log());
        }
    }

    private static List<String> requests(
            SidecarFleet fleet, Behaviour.PartialCopy behaviour, String prefix) throws Exception {
        List<String> faults = new ArrayList<>();
        for (int i = 0; i < REQUESTS_PER_LANE; i++) {
            String id = prefix + i;
            boolean repeatable = i % 2 == 0;
            long start = System.nanoTime();
            HttpResponse<String> response =
                    repeatable
                            ? fleet.request(0, "GET", "/read/a", id)
                            : fleet.request(0, "POST", "/write/a", id);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            String fault = fault(fleet, behaviour, id, repeatable, response);
            if (!fault.isEmpty() || millis > MAX_MILLIS) {
                faults.add(id + ": " + fault + ' ' + millis + " ms");
            }
        }
        return faults;
    }

    private static String fault(
            SidecarFleet fleet,
            Behaviour.PartialCopy behaviour,
            String id,
            boolean repeatable,
            HttpResponse<String> response) {
        int status = response.statusCode();
        long executions = fleet.executions(id);
        List<Integer> answered =
                fleet.targets.stream().flatMap(t -> t.statuses(id).stream()).toList();
        if (!repeatable && executions > 1) {
            return "ran " + executions + " times";
        }
        if (List.of(408, 421, 429, 503).contains(status)) {
            return executions > 0 ? "said not to have run, but ran: " + status : "";
        }
        if (status == 502 || status == 504 && !answered.contains(504)) {
            return "";
        }
        if (!answered.contains(status)) {
            return "status " + status + " where targets answered " + answered;
        }
        if (!ProtocolRequests.isTargetResponse(response, id)
                || !response.headers()
                        .firstValue("X-Azureshed-Response-Signature")
                        .equals(Optional.of("s." + id))) {
            return "answer to another request: " + response.headers().map();
        }
        String body = status == behaviour.firstStatus() ? "first" : "own";
        return response.body().equals(body) ? "" : "body \"" + response.body() + '"';
    }
}
