package org.azureshed.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.base.Throwables;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/**
 * Plays the byte streams of pooled connections to a target: answers, copies of them that are whole
 * or cut at any byte, interim responses and other bytes, split over reads and delayed.
 */
class ResponseStreamPropertyTest {
    /** Far less than the time that a request has: a run without a usable answer frees its slot. */
    private static final long MAX_MILLIS = 2_500;

    private static final Set<Integer> REFUSALS = Set.of(421, 429, 503);
    private static final String INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

    private ResponseStreamBench bench;

    private enum Framing {
        LENGTH,
        CHUNKED,
        UNTIL_CLOSE
    }

    private enum RestKind {
        NONE,
        WHOLE_COPY,
        CUT_COPY,
        CUT_INTERIM,
        OTHER_BYTES
    }

    private enum RestTime {
        WITH_ANSWER,
        LATER,
        WITH_NEXT_ANSWER
    }

    private enum End {
        NONE,
        CLOSED,
        CUT_AND_CLOSED,
        CUT_AND_RESET
    }

    /** An answer; {@code order} seeds the order of its headers. */
    private record Answer(int status, Framing framing, int order, int interims, int bodyLength) {
        boolean runs() {
            return !REFUSALS.contains(status);
        }

        boolean hasBody(HttpMethod method) {
            return status != 204 && status != 304 && !method.equals(HttpMethod.HEAD);
        }

        String body(HttpMethod method, String run) {
            return hasBody(method) ? (run + ' ' + "x".repeat(bodyLength)) : "";
        }

        String head(String run, String id) {
            List<String> lines = new ArrayList<>();
            lines.add("Content-Type: text/plain");
            lines.add(ResponseStreamBench.RUN + ": " + run);
            lines.add("X-Request-Id: " + id);
            lines.add("X-Signature: s." + id);
            if (!runs()) {
                lines.add("X-Not-Executed: 1");
            }
            if (status != 204 && status != 304) {
                int length = run.length() + 1 + bodyLength;
                switch (framing) {
                    case LENGTH -> lines.add("Content-Length: " + length);
                    case CHUNKED -> lines.add("Transfer-Encoding: chunked");
                    case UNTIL_CLOSE -> lines.add("Connection: close");
                    default -> throw new AssertionError(framing);
                }
            }
            Collections.shuffle(lines, new Random(order));
            String reason = order % 3 == 0 ? "" : "Status";
            return "HTTP/1.1 " + status + ' ' + reason + "\r\n" + String.join("\r\n", lines);
        }

        String bytes(HttpMethod method, String run, String id) {
            String body = body(method, run);
            String framed =
                    framing == Framing.CHUNKED && hasBody(method)
                            ? chunk(body.substring(0, body.length() / 2))
                                    + chunk(body.substring(body.length() / 2))
                                    + "0\r\n\r\n"
                            : body;
            return head(run, id) + "\r\n\r\n" + framed;
        }

        private static String chunk(String data) {
            return data.isEmpty()
                    ? ""
                    : Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
        }
    }

    /** Bytes that belong to no answer, in addition to one. */
    private record Rest(RestKind kind, RestTime time, double cut, int delayMicros) {}

    /** One request of a lane and what the target sends because of it. */
    private record Step(
            HttpMethod method,
            Answer answer,
            Rest rest,
            End end,
            double cut,
            double split,
            int splitMicros,
            boolean sameId,
            boolean strangeId,
            boolean staysOpen) {
        /** Whether the caller can get the answer if no earlier bytes disturb it. */
        boolean answers() {
            return !strangeId && (end == End.NONE || end == End.CLOSED);
        }
    }

    @BeforeProperty
    void start() throws IOException {
        bench = new ResponseStreamBench();
    }

    @AfterProperty
    void stop() throws IOException {
        bench.close();
    }

    private static Arbitrary<Answer> answers(List<Framing> framings) {
        return Combinators.combine(
                        Arbitraries.of(200, 201, 204, 304, 400, 404, 500, 504, 421, 429, 503),
                        Arbitraries.of(framings),
                        Arbitraries.integers().between(0, 10_000),
                        Arbitraries.frequency(Tuple.of(4, 0), Tuple.of(1, 1), Tuple.of(1, 3)),
                        Arbitraries.frequency(Tuple.of(5, 7), Tuple.of(2, 300), Tuple.of(1, 9_000)))
                .as(Answer::new);
    }

    private static Arbitrary<Rest> rests(List<RestTime> times) {
        return Combinators.combine(
                        Arbitraries.of(RestKind.class),
                        Arbitraries.of(times),
                        Arbitraries.doubles().between(0, 1),
                        Arbitraries.of(0, 20, 100, 500, 2_000))
                .as(Rest::new);
    }

    private static Arbitrary<HttpMethod> methods() {
        return Arbitraries.of(HttpMethod.GET, HttpMethod.POST, HttpMethod.HEAD);
    }

    private static Arbitrary<Boolean> rarely(int others) {
        return Arbitraries.frequency(Tuple.of(others, false), Tuple.of(1, true));
    }

    private static Arbitrary<List<List<Step>>> lanes(Arbitrary<Step> steps) {
        return steps.list().ofMinSize(2).ofMaxSize(5).list().ofMinSize(1).ofMaxSize(3);
    }

    @Provide
    Arbitrary<List<List<Step>>> disturbed() {
        Arbitrary<End> ends =
                Arbitraries.frequency(
                        Tuple.of(12, End.NONE),
                        Tuple.of(1, End.CLOSED),
                        Tuple.of(1, End.CUT_AND_CLOSED),
                        Tuple.of(1, End.CUT_AND_RESET));
        Arbitrary<Double> places = Arbitraries.doubles().between(0, 1);
        return lanes(
                Combinators.combine(
                                Combinators.combine(methods(), rarely(5), rarely(60), rarely(9))
                                        .as(Flags::new),
                                answers(List.of(Framing.values())),
                                rests(List.of(RestTime.values())),
                                ends,
                                places,
                                places,
                                Arbitraries.of(0, 0, 0, 30, 300))
                        .as(ResponseStreamPropertyTest::step));
    }

    private record Flags(HttpMethod method, boolean same, boolean strange, boolean open) {}

    private static Step step(
            Flags flags,
            Answer answer,
            Rest rest,
            End end,
            double cut,
            double split,
            int splitMicros) {
        return new Step(
                flags.method(),
                answer,
                rest,
                end,
                cut,
                split,
                splitMicros,
                flags.same(),
                flags.strange(),
                flags.open());
    }

    /**
     * A caller gets the status, identifier and whole body of its own run, or an unknown outcome; it
     * is told that its request has not run only if that is true; and it learns its outcome soon.
     */
    @Property
    void callerGetsItsOwnAnswerOrAnUnknownOutcome(@ForAll("disturbed") List<List<Step>> lanes)
            throws Exception {
        assertEquals(List.of(), new Try(bench, lanes, false).play());
    }

    @Provide
    Arbitrary<List<List<Step>>> sound() {
        return lanes(
                Combinators.combine(
                                methods(),
                                answers(List.of(Framing.LENGTH, Framing.CHUNKED)),
                                Arbitraries.doubles().between(0, 1),
                                Arbitraries.of(0, 0, 0, 30, 300))
                        .as(ResponseStreamPropertyTest::soundStep));
    }

    private static Step soundStep(HttpMethod method, Answer answer, double split, int micros) {
        Rest none = new Rest(RestKind.NONE, RestTime.LATER, 0, 0);
        // The outcome of a refusal is known at its head, when its connection is not free yet.
        int pause = answer.runs() ? micros : 0;
        return new Step(method, answer, none, End.NONE, 0, split, pause, false, false, false);
    }

    /** A sound target gets no more connections than it has requests at the same time. */
    @Property
    void connectionOfASoundTargetIsReused(@ForAll("sound") List<List<Step>> lanes)
            throws Exception {
        assertEquals(List.of(), new Try(bench, lanes, true).play());
        int connections = bench.connections();
        assertTrue(connections <= lanes.size(), () -> connections + " connections");
    }

    @Provide
    Arbitrary<List<List<Step>>> disturbedBetweenRequests() {
        return lanes(
                Combinators.combine(
                                methods(),
                                answers(List.of(Framing.LENGTH, Framing.CHUNKED)),
                                rests(List.of(RestTime.WITH_ANSWER)))
                        .as(
                                (method, answer, rest) ->
                                        new Step(
                                                method, answer, rest, End.NONE, 0, 0, 0, false,
                                                false, false)));
    }

    /** Bytes that come together with an answer do not cost the next request its answer. */
    @Property
    void bytesBehindAnAnswerDoNoHarm(@ForAll("disturbedBetweenRequests") List<List<Step>> lanes)
            throws Exception {
        assertEquals(List.of(), new Try(bench, lanes, true).play());
    }

    /** Plays lanes of requests at the same time and collects what is wrong. */
    private static final class Try {
        /** Shrinking may leave a try behind that still runs when the next property starts. */
        private final ResponseStreamBench bench;

        private final List<List<Step>> lanes;
        private final boolean allAnswered;
        private final Map<String, Step> steps = new ConcurrentHashMap<>();
        private final Set<String> ran = ConcurrentHashMap.newKeySet();

        Try(ResponseStreamBench bench, List<List<Step>> lanes, boolean allAnswered) {
            this.bench = bench;
            this.lanes = lanes;
            this.allAnswered = allAnswered;
        }

        List<String> play() throws Exception {
            bench.begin(this::serve);
            List<String> faults = new ArrayList<>();
            try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
                List<Future<List<String>>> running = new ArrayList<>();
                for (int lane = 0; lane < lanes.size(); lane++) {
                    int number = lane;
                    running.add(callers.submit(() -> playLane(number)));
                }
                for (Future<List<String>> lane : running) {
                    faults.addAll(lane.get());
                }
            }
            bench.events()
                    .errors()
                    .forEach(error -> faults.add(Throwables.getStackTraceAsString(error)));
            return faults;
        }

        private List<String> playLane(int lane) throws Exception {
            List<String> faults = new ArrayList<>();
            String id = "";
            for (int i = 0; i < lanes.get(lane).size(); i++) {
                Step step = lanes.get(lane).get(i);
                String run = "r" + lane + '-' + i;
                id = step.sameId() && i > 0 ? id : "id-" + lane + '-' + i;
                steps.put(run, step);
                CompletableFuture<ResponseStreamBench.Result> offered =
                        bench.offer(run, id, step.method());
                ResponseStreamBench.Result result = offered.get(10, TimeUnit.SECONDS);
                String fault = fault(step, run, id, result);
                if (!fault.isEmpty()) {
                    faults.add(run + ": " + fault + ' ' + result);
                }
                // The connection returns to the pool at the end of the read batch.
                bench.loop().submit(() -> {}).sync();
            }
            return faults;
        }

        private String fault(Step step, String run, String id, ResponseStreamBench.Result result) {
            Answer answer = step.answer();
            if (result.millis() > MAX_MILLIS) {
                return "late";
            }
            switch (result.outcome()) {
                case OutcomeHeaders.COMPLETED -> {
                    boolean own =
                            step.answers()
                                    && answer.runs()
                                    && result.status() == answer.status()
                                    && result.ids().equals(List.of(id))
                                    && result.runs().equals(List.of(run))
                                    && result.body().equals(answer.body(step.method(), run));
                    return own ? "" : "not its own answer";
                }
                case OutcomeHeaders.SHED, OutcomeHeaders.NOT_RUN -> {
                    return ran.contains(run)
                            ? "ran"
                            : allAnswered && answer.runs() ? "not run without a reason" : "";
                }
                default -> {
                    return allAnswered ? "no answer" : "";
                }
            }
        }

        private boolean serve(ResponseStreamBench.Connection connection, String run, String id)
                throws IOException, InterruptedException {
            Step step = steps.get(run);
            Answer answer = step.answer();
            if (answer.runs()) {
                ran.add(run);
            }
            String own = answer.bytes(step.method(), run, step.strangeId() ? "strange" : id);
            String rest = rest(step, own);
            boolean cut = step.end() == End.CUT_AND_CLOSED || step.end() == End.CUT_AND_RESET;
            if (cut) {
                own = own.substring(0, cutPlace(step, own));
            }
            String bytes = connection.held + INTERIM.repeat(answer.interims()) + own;
            // Bytes behind a body that lasts until close belong to it, so there are none.
            boolean closes = step.end() != End.NONE || answer.framing() == Framing.UNTIL_CLOSE;
            if (!rest.isEmpty() && !step.staysOpen()) {
                connection.closeSoon();
            }
            connection.held = "";
            if (!closes && step.rest().time() == RestTime.WITH_ANSWER) {
                bytes += rest;
            }
            int split = step.splitMicros() == 0 ? 0 : (int) (step.split() * bytes.length());
            connection.write(bytes.substring(0, split));
            TimeUnit.MICROSECONDS.sleep(step.splitMicros());
            connection.write(bytes.substring(split));
            if (closes) {
                if (step.end() == End.CUT_AND_RESET) {
                    connection.reset();
                }
                return false;
            }
            if (step.rest().time() == RestTime.LATER) {
                TimeUnit.MICROSECONDS.sleep(step.rest().delayMicros());
                connection.write(rest);
            } else if (step.rest().time() == RestTime.WITH_NEXT_ANSWER) {
                connection.held = rest;
            }
            return true;
        }

        /** A body until close that is cut cannot be told from a shorter one, so its head is cut. */
        private static int cutPlace(Step step, String bytes) {
            int length =
                    step.answer().framing() == Framing.UNTIL_CLOSE
                            ? bytes.indexOf("\r\n\r\n")
                            : bytes.length();
            return Math.min((int) (step.cut() * length), length - 1);
        }

        private static String rest(Step step, String own) {
            double cut = step.rest().cut();
            return switch (step.rest().kind()) {
                case NONE -> "";
                case WHOLE_COPY -> own;
                case CUT_COPY -> own.substring(0, (int) (cut * own.length()));
                case CUT_INTERIM -> INTERIM.substring(0, (int) (cut * INTERIM.length()));
                case OTHER_BYTES -> "\u0001\r\n x: HTTP\r\n\r\n".substring((int) (cut * 12));
            };
        }
    }
}
