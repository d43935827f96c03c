package org.azureshed.ejection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/** Computes the record that a service should have from the record that it has. */
final class EjectionPlanner {
    /** The entry of a target that has not been announced for this long is removed. */
    static final long GONE_MILLIS = 60_000;

    /** Shortest time in a stage of the readmission, before its requests are evaluated. */
    static final long MIN_STAGE_MILLIS = 10_000;

    /** A stage with too few requests to evaluate counts as passed after this time. */
    static final long MAX_STAGE_MILLIS_WITHOUT_SAMPLES = 60_000;

    private record EjectionCandidate(TargetView target, Evidence evidence) {}

    private final OutlierDetector detector;

    EjectionPlanner(OutlierDetector detector) {
        this.detector = detector;
    }

    /**
     * Returns the record that the service should have now. Uses the given record instead of the
     * service's known one, which may be older.
     *
     * @return the given record if nothing has to change
     */
    EjectionRecord plan(
            ServiceState service,
            EjectionRecord current,
            NodeId self,
            long nowMillis,
            long platformMillis) {
        // Most services have neither ejected targets nor candidates. Returning here saves the floor
        // check, which iterates over all targets.
        if (current.targets().isEmpty() && ejectionCandidates(service, nowMillis).isEmpty()) {
            return current;
        }
        FloorCheck floor = service.floor();
        EjectionRecord next = removeGone(service, current, nowMillis);
        next = restoreFloor(floor, next);
        next = readmit(service, floor, next, self, nowMillis, platformMillis);
        return eject(service, floor, next, nowMillis, platformMillis);
    }

    /**
     * Whether a service needs no evaluation until its next event: it has no ejected target, no
     * outlier and no target in a crash loop. Without events, scores only decay and digests only
     * age.
     */
    boolean inactive(ServiceState service, long nowMillis) {
        return service.record().targets().isEmpty()
                && ejectionCandidates(service, nowMillis).isEmpty();
    }

    private static EjectionRecord removeGone(
            ServiceState service, EjectionRecord record, long nowMillis) {
        EjectionRecord next = record;
        for (EjectedTarget entry : record.targets()) {
            boolean gone =
                    service.goneSinceMillis()
                            .get(entry.target())
                            .exists(since -> nowMillis - since >= GONE_MILLIS);
            if (gone) {
                next = next.without(entry.target());
            }
        }
        return next;
    }

    private static EjectionRecord restoreFloor(FloorCheck floor, EjectionRecord record) {
        EjectionRecord next = record;
        while (!floor.holds(next)) {
            Optional<EjectedTarget> leastSevere = floor.leastSevere(next);
            if (leastSevere.isEmpty()) {
                return next;
            }
            next = next.with(leastSevere.get().withStage(Stage.FULL));
        }
        return next;
    }

    private EjectionRecord readmit(
            ServiceState service,
            FloorCheck floor,
            EjectionRecord record,
            NodeId self,
            long nowMillis,
            long platformMillis) {
        EjectionRecord next = record;
        for (EjectedTarget entry : record.targets()) {
            Optional<Readmission> progress =
                    service.readmissions().get(entry.target()).toJavaOptional();
            boolean decidedHere =
                    entry.node().equals(self)
                            && progress.isPresent()
                            && progress.get().stage() == entry.stage();
            if (!decidedHere) {
                continue;
            }
            Optional<Boolean> passed = stagePassed(service, entry, progress.get(), nowMillis);
            if (passed.isEmpty()) {
                continue;
            }
            if (!passed.get()) {
                EjectionRecord demoted =
                        next.with(relapsed(entry, entry.evidence(), platformMillis));
                next = floor.holds(demoted) ? demoted : next;
            } else if (entry.stage() == Stage.FULL) {
                next = next.without(entry.target());
            } else {
                next = next.with(entry.withStage(entry.stage().next()));
            }
        }
        return next;
    }

    /** Whether a target passed or failed its present stage; empty if the stage is not over. */
    private Optional<Boolean> stagePassed(
            ServiceState service, EjectedTarget entry, Readmission progress, long nowMillis) {
        if (entry.stage() == Stage.EJECTED) {
            return progress.goodProbes() >= Readmission.REQUIRED_PROBES
                    ? Optional.of(true)
                    : Optional.empty();
        }
        long inStage = nowMillis - progress.enteredMillis();
        if (inStage < MIN_STAGE_MILLIS) {
            return Optional.empty();
        }
        Optional<Boolean> outlier =
                enoughSamplesInStage(service, entry.target(), progress)
                        ? detector.outlierNow(
                                        service.detector(),
                                        entry.target(),
                                        service.comparableSince(),
                                        nowMillis)
                                .or(() -> worseThanEvidence(service, entry))
                        : Optional.empty();
        if (outlier.isPresent()) {
            return outlier.map(bad -> !bad);
        }
        return inStage >= MAX_STAGE_MILLIS_WITHOUT_SAMPLES ? Optional.of(true) : Optional.empty();
    }

    private static boolean enoughSamplesInStage(
            ServiceState service, TargetId target, Readmission progress) {
        return service.detector()
                .latest()
                .get(target)
                .exists(
                        received ->
                                received.digest().classes().stream()
                                        .anyMatch(
                                                digest ->
                                                        digest.samples()
                                                                        >= OutlierDetector
                                                                                .MIN_SAMPLES
                                                                && received.atMillis()
                                                                                - digest
                                                                                        .spanMillis()
                                                                        >= progress
                                                                                .enteredMillis()));
    }

    /**
     * Compares a target with its peers' values at the time of the ejection. Used if the hosting
     * node has digests of too few peers.
     */
    private static Optional<Boolean> worseThanEvidence(ServiceState service, EjectedTarget entry) {
        Evidence evidence = entry.evidence();
        return service.detector()
                .latest()
                .get(entry.target())
                .toJavaOptional()
                .flatMap(
                        received ->
                                received.digest().classes().stream()
                                        .filter(
                                                digest ->
                                                        digest.requestClass()
                                                                .equals(evidence.requestClass()))
                                        .filter(
                                                digest ->
                                                        digest.samples()
                                                                >= OutlierDetector.MIN_SAMPLES)
                                        .findFirst())
                .map(
                        digest ->
                                evidence.kind() == Evidence.Kind.SLOW
                                        ? digest.medianMicros()
                                                >= OutlierDetector.MIN_RATIO * evidence.peers()
                                        : digest.errorShare()
                                                >= OutlierDetector.MIN_ERROR_MARGIN
                                                        + evidence.peers());
    }

    private EjectionRecord eject(
            ServiceState service,
            FloorCheck floor,
            EjectionRecord record,
            long nowMillis,
            long platformMillis) {
        EjectionRecord next = record;
        for (EjectionCandidate candidate : ejectionCandidates(service, nowMillis)) {
            TargetId id = candidate.target().id();
            Optional<EjectedTarget> entry = next.find(id);
            if (entry.isPresent() && entry.get().stage() == Stage.EJECTED) {
                continue;
            }
            EjectedTarget ejected =
                    entry.map(old -> relapsed(old, candidate.evidence(), platformMillis))
                            .orElseGet(
                                    () ->
                                            new EjectedTarget(
                                                    id,
                                                    candidate.target().node(),
                                                    Stage.EJECTED,
                                                    platformMillis,
                                                    0,
                                                    candidate.evidence()));
            EjectionRecord proposed = next.with(ejected);
            if (floor.holds(proposed)) {
                next = proposed;
            }
        }
        return next;
    }

    /** Present outliers and targets in a crash loop, the most severe first. */
    private List<EjectionCandidate> ejectionCandidates(ServiceState service, long nowMillis) {
        List<EjectionCandidate> ejectionCandidates = new ArrayList<>();
        for (var received : service.detector().latest()) {
            TargetId id = received._1();
            detector.finding(service.detector(), id, nowMillis)
                    .filter(found -> service.comparable(id))
                    .ifPresent(
                            found ->
                                    ejectionCandidates.add(
                                            new EjectionCandidate(
                                                    service.targets().get(id).get(), found)));
        }
        service.crashLoops()
                .forEach(
                        (id, crashes) ->
                                service.targets()
                                        .get(id)
                                        .forEach(
                                                view ->
                                                        ejectionCandidates.add(
                                                                new EjectionCandidate(
                                                                        view,
                                                                        Evidence.crashLoop(
                                                                                crashes)))));
        ejectionCandidates.sort(
                Comparator.comparingDouble(
                                (EjectionCandidate candidate) -> -candidate.evidence().severity())
                        .thenComparing(candidate -> candidate.target().id()));
        return ejectionCandidates;
    }

    private static EjectedTarget relapsed(
            EjectedTarget entry, Evidence evidence, long platformMillis) {
        return new EjectedTarget(
                entry.target(),
                entry.node(),
                Stage.EJECTED,
                platformMillis,
                entry.relapses() + 1,
                evidence);
    }
}
