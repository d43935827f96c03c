package org.azureshed.simulation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Judges a journal by the platform's rules. */
final class RuleJudge {
    /** Statuses that promise that the request has not run and never will. */
    private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

    private static final Set<Integer> DENIALS = Set.of(400, 401, 403, 404, 405, 411, 413, 414, 431);
    private static final long MAX_CONFIGURATION_MILLIS = 2_000;
    private static final long TIMEOUT_TOLERANCE_MILLIS = 500;
    private static final long EARLY_IN_STOP_MILLIS = 3_000;
    private static final long LATE_IN_STOP_MILLIS = Addresses.GRACE_MILLIS * 5 / 6;

    /** Time from which the fleet must have recovered; all targets that left are replaced. */
    private static final long CALM_MILLIS = Schedule.STEPS_END_MILLIS + 15_000;

    private static final double MIN_SERVED_SHARE = 0.9;

    private final Journal journal;

    RuleJudge(Journal journal) {
        this.journal = journal;
    }

    void judge() {
        journal.runs().forEach(this::judgeRun);
        Set<String> repeated = new HashSet<>();
        for (Journal.Run run : journal.runs()) {
            Journal.Sent sent = journal.sent(run.request().requestId());
            if (sent != null && !sent.repeatable() && !repeated.add(sent.id())) {
                journal.violation("TWICE", sent.id() + " " + shown(sent.id()));
            }
        }
        journal.ended().forEach(this::judgeEnd);
        judgeRecovery();
    }

    private String shown(String id) {
        List<String> shown = new ArrayList<>();
        for (Journal.Run run : journal.runs(id)) {
            shown.add(run.target() + " " + run.service() + " at " + run.atMillis());
        }
        return shown.toString();
    }

    private void judgeRun(Journal.Run run) {
        Journal.Sent sent = journal.sent(run.request().requestId());
        if (sent == null) {
            journal.violation("UNASKED", run.toString());
            return;
        }
        String line = sent.method() + ' ' + sent.target() + " HTTP/1.1";
        boolean bodyRead = run.sound() || !run.request().body().isEmpty();
        if (!run.request().startLine().equals(line)
                || bodyRead && !run.request().body().equals(sent.body())) {
            journal.violation("UNASKED", "changed: " + run.request().startLine());
        }
        judgeCallerService(run, sent);
        judgeDeparture(run, sent);
        judgeService(run, sent);
    }

    /** The request must name the service of the target beside the node where it began. */
    private void judgeCallerService(Journal.Run run, Journal.Sent sent) {
        String named = run.request().header("x-azureshed-caller-service");
        for (Journal.Tenure tenure : journal.tenures()) {
            if (tenure.node() == sent.node()
                    && tenure.fromMillis() < sent.atMillis()
                    && tenure.untilMillis() > run.atMillis()
                    && !tenure.service().equals(named)) {
                journal.violation("UNASKED", sent.id() + " names " + named + " in " + tenure);
            }
        }
    }

    private void judgeDeparture(Journal.Run run, Journal.Sent sent) {
        for (Journal.Departure departure : journal.departures()) {
            long sinceMillis = run.atMillis() - departure.atMillis();
            boolean hostInTouch = inTouch(run.node(), run.atMillis());
            boolean storeStable =
                    journal.undisturbed(Journal.STORE, run.atMillis(), run.atMillis());
            if (departure.target().equals(run.target())
                    && sinceMillis > TargetParty.DRAIN_MILLIS
                    && hostInTouch
                    && storeStable
                    && inTouch(sent.node(), run.atMillis())) {
                journal.violation(
                        "DRAIN",
                        sent.id() + " at " + run.target() + ' ' + sinceMillis + " ms after");
            }
        }
    }

    private boolean inTouch(int node, long atMillis) {
        return journal.undisturbed(node, atMillis, atMillis);
    }

    private void judgeService(Journal.Run run, Journal.Sent sent) {
        boolean ever =
                journal.versions().stream()
                        .anyMatch(version -> allows(sent, version.number(), run.service()));
        if (!ever) {
            journal.violation("ROUTE", sent.id() + " at " + run.service());
        } else if (judgedByVersion(sent)
                && inForce(sent).stream().noneMatch(v -> allows(sent, v, run.service()))) {
            journal.violation(
                    "CONFIG", sent.id() + " sent at " + sent.atMillis() + " run by an old version");
        }
    }

    private void judgeRecovery() {
        List<Journal.Ended> late =
                journal.ended().stream()
                        .filter(ended -> ended.sent().atMillis() > CALM_MILLIS)
                        .filter(ended -> !prefix(ended.sent()).startsWith("/v"))
                        .toList();
        long served =
                late.stream()
                        .filter(ended -> ended.end() == Journal.End.ANSWERED)
                        .filter(ended -> ended.answer().status() == 200)
                        .count();
        if (served < late.size() * MIN_SERVED_SHARE) {
            journal.violation("RECOVER", served + " served of " + late.size());
        }
    }

    private static boolean allows(Journal.Sent sent, long version, String service) {
        return FleetConfiguration.service(prefix(sent), version).equals(Optional.of(service));
    }

    private static String prefix(Journal.Sent sent) {
        return sent.target().substring(0, sent.target().indexOf('/', 1) + 1);
    }

    /** Whether the node had to know the newest version when the request was sent. */
    private boolean judgedByVersion(Journal.Sent sent) {
        return inTouch(sent.node(), sent.atMillis())
                && journal.undisturbed(Journal.STORE, sent.atMillis(), sent.atMillis());
    }

    /** Versions that may be in force while a request is handled. */
    private List<Long> inForce(Journal.Sent sent) {
        List<Long> inForce = new ArrayList<>();
        List<Journal.Version> versions = journal.versions();
        for (int i = 0; i < versions.size(); i++) {
            boolean replaced =
                    i + 1 < versions.size()
                            && sent.atMillis()
                                    > versions.get(i + 1).atMillis() + MAX_CONFIGURATION_MILLIS;
            if (!replaced) {
                inForce.add(versions.get(i).number());
            }
        }
        return inForce;
    }

    private void judgeEnd(Journal.Ended ended) {
        Journal.Sent sent = ended.sent();
        List<Journal.Run> runs = journal.runs(sent.id());
        switch (ended.end()) {
            case ANSWERED -> judgeAnswer(ended, runs);
            case BROKEN -> judgeBroken(ended, runs);
            default -> judgeLate(ended);
        }
    }

    private void judgeAnswer(Journal.Ended ended, List<Journal.Run> runs) {
        Journal.Sent sent = ended.sent();
        HttpReader.Message answer = ended.answer();
        int status = answer.status();
        String signature = answer.header("x-azureshed-response-signature");
        Optional<Journal.Run> signed =
                runs.stream().filter(run -> signature.equals("" + run.number())).findFirst();
        boolean genuine =
                signed.isPresent()
                        && signed.get().status() == status
                        && signed.get().body().equals(answer.body());
        if (!genuine && (status / 100 == 2 || !signature.isEmpty())) {
            journal.violation("MIXED", sent.id() + " got " + answer + " runs " + runs);
        }
        if (!sent.repeatable() && NOT_RUN.contains(status) && !runs.isEmpty()) {
            journal.violation("REFUSED", sent.id() + " got " + status + ' ' + shown(sent.id()));
        }
        if (DENIALS.contains(status)) {
            judgeDenial(sent, status);
        }
        judgeLate(ended);
    }

    private void judgeDenial(Journal.Sent sent, int status) {
        List<Long> versions = inForce(sent);
        if (!judgedByVersion(sent)) {
            versions = journal.versions().stream().map(Journal.Version::number).toList();
        }
        boolean proper =
                versions.stream()
                        .allMatch(v -> FleetConfiguration.service(prefix(sent), v).isPresent());
        if (status != 404) {
            journal.violation("DENIED", sent.id() + " got " + status);
        } else if (proper) {
            journal.violation("CONFIG", sent.id() + " sent at " + sent.atMillis() + " got 404");
        }
    }

    private void judgeBroken(Journal.Ended ended, List<Journal.Run> runs) {
        int entry = ended.sent().node();
        boolean sound = !runs.isEmpty();
        for (Journal.Run run : runs) {
            sound &=
                    run.sound()
                            && journal.onlyPlanned(run.node(), run.atMillis(), ended.atMillis());
        }
        if (sound
                && !excusedByStop(ended)
                && journal.onlyPlanned(entry, ended.sent().atMillis(), ended.atMillis())) {
            journal.violation("LOST", ended.sent() + " " + shown(ended.sent().id()));
        }
    }

    /**
     * Whether the request was sent early after a SIGTERM of its node and its target was still at
     * work at the end of the grace period.
     */
    private boolean excusedByStop(Journal.Ended ended) {
        return journal.stops(ended.sent().node()).stream()
                .anyMatch(
                        stop ->
                                ended.sent().atMillis() <= stop + EARLY_IN_STOP_MILLIS
                                        && ended.atMillis() >= stop + LATE_IN_STOP_MILLIS);
    }

    private void judgeLate(Journal.Ended ended) {
        Journal.Sent sent = ended.sent();
        long tookMillis = ended.atMillis() - sent.atMillis();
        if (!ended.readLate()
                && tookMillis > sent.timeoutMillis() + TIMEOUT_TOLERANCE_MILLIS
                && journal.undisturbed(sent.node(), sent.atMillis(), ended.atMillis())) {
            journal.violation(
                    "TIMEOUT", sent.id() + " took " + tookMillis + " ms, " + shown(sent.id()));
        }
    }
}
