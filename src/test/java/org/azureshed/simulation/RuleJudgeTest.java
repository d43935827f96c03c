package org.azureshed.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks that the judge sees each broken rule, and nothing in a journal that keeps them. */
class RuleJudgeTest {
    private static final String ID = "n0-1";
    private static final String CALLER_SERVICE = "x-azureshed-caller-service";

    private static Journal.Sent sent(String target, boolean repeatable) {
        return new Journal.Sent(ID, 0, repeatable, "GET", target, "", 3_000, 10_000);
    }

    private static Journal.Run run(int number, String service, String target) {
        HttpReader.Message request =
                new HttpReader.Message(
                        "GET " + target + " HTTP/1.1",
                        Map.of("x-azureshed-request-id", ID, CALLER_SERVICE, "shop"),
                        "");
        return new Journal.Run("t/1", 1, service, number, request, 200, "b", true, 10_010);
    }

    private static Journal.Ended answered(Journal.Sent sent, int status, String signature) {
        Map<String, String> headers =
                signature.isEmpty()
                        ? Map.of()
                        : Map.of("x-azureshed-response-signature", signature);
        HttpReader.Message answer = new HttpReader.Message("HTTP/1.1 " + status, headers, "b");
        return new Journal.Ended(sent, Journal.End.ANSWERED, answer, false, 10_020);
    }

    private static Journal journal(Journal.Sent sent) {
        Journal journal = new Journal();
        journal.version(new Journal.Version(1, 0));
        journal.sent(sent);
        return journal;
    }

    private static Arguments broken(
            String rule, String target, boolean repeatable, Consumer<Journal> events) {
        return Arguments.of(rule, sent(target, repeatable), events);
    }

    static Stream<Arguments> brokenRules() {
        Journal.Sent write = sent("/write/a", false);
        Journal.Sent read = sent("/read/a", true);
        return Stream.of(
                broken(
                        "TWICE",
                        "/write/a",
                        false,
                        journal -> {
                            journal.run(run(0, "shop", "/write/a"));
                            journal.run(run(1, "shop", "/write/a"));
                        }),
                broken(
                        "REFUSED",
                        "/write/a",
                        false,
                        journal -> {
                            journal.run(run(0, "shop", "/write/a"));
                            journal.ended(answered(write, 503, ""));
                        }),
                broken("MIXED", "/read/a", true, journal -> journal.ended(answered(read, 200, ""))),
                broken(
                        "UNASKED",
                        "/read/a",
                        true,
                        journal -> journal.run(run(0, "shop", "/read/b"))),
                broken(
                        "UNASKED",
                        "/read/a",
                        true,
                        journal -> {
                            journal.tenure(new Journal.Tenure(0, "kiosk", 0, Long.MAX_VALUE));
                            journal.run(run(0, "shop", "/read/a"));
                        }),
                broken(
                        "DRAIN",
                        "/read/a",
                        true,
                        journal -> {
                            journal.departure(new Journal.Departure("t/1", 1, 0, 5_000));
                            journal.run(run(0, "shop", "/read/a"));
                        }),
                broken(
                        "ROUTE",
                        "/read/a",
                        true,
                        journal -> journal.run(run(0, "kiosk", "/read/a"))),
                broken(
                        "CONFIG",
                        "/move/a",
                        true,
                        journal -> {
                            journal.version(new Journal.Version(2, 5_000));
                            journal.run(run(0, "kiosk", "/move/a"));
                        }),
                broken("CONFIG", "/v1/a", true, journal -> journal.ended(denied("/v1/a", 404))),
                broken("DENIED", "/read/a", true, journal -> journal.ended(denied("/read/a", 431))),
                broken(
                        "LOST",
                        "/write/a",
                        false,
                        journal -> {
                            journal.run(run(0, "shop", "/write/a"));
                            journal.ended(
                                    new Journal.Ended(
                                            write, Journal.End.BROKEN, null, false, 10_020));
                        }),
                broken(
                        "TIMEOUT",
                        "/read/a",
                        true,
                        journal ->
                                journal.ended(
                                        new Journal.Ended(
                                                read, Journal.End.LEFT, null, false, 14_000))));
    }

    private static Journal.Ended denied(String target, int status) {
        return answered(sent(target, true), status, "");
    }

    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("brokenRules")
    void brokenRuleIsSeen(String rule, Journal.Sent sent, Consumer<Journal> events) {
        Journal journal = journal(sent);
        events.accept(journal);
        new RuleJudge(journal).judge();
        assertEquals(
                List.of(rule), journal.violations().stream().map(Journal.Violation::rule).toList());
    }

    @Test
    void answerOfTheRunKeepsTheRules() {
        Journal.Sent sent = sent("/write/a", false);
        Journal journal = journal(sent);
        journal.tenure(new Journal.Tenure(0, "shop", 0, Long.MAX_VALUE));
        journal.run(run(7, "shop", "/write/a"));
        journal.ended(answered(sent, 200, "7"));
        new RuleJudge(journal).judge();
        assertEquals(List.of(), journal.violations());
    }

    /** Guards against a departure that is held against a node the fleet cannot reach. */
    @Test
    void disturbedNodeIsNotInTouch() {
        Journal.Sent sent = sent("/read/a", true);
        Journal journal = journal(sent);
        journal.disturbance(new Journal.Disturbance(1, false, 9_000, 9_500));
        journal.departure(new Journal.Departure("t/1", 1, 0, 5_000));
        journal.run(run(0, "shop", "/read/a"));
        new RuleJudge(journal).judge();
        assertEquals(List.of(), journal.violations());
    }
}
