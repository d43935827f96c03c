package org.azureshed.ejection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/** Decides what the record of a service should be, from a record that was read. */
final class EjectionPlanner {
    /** A record entry of a target that is not announced for this long is removed. */
    static final long GONE_MILLIS = 60_000;

    /** Shortest time in a stage. */
    static final long INTERVAL_MILLIS = 10_000;

    /** A stage with too few requests to judge counts as good after this time. */
    static final long QUIET_INTERVAL_MILLIS = 60_000;

    private record Suspect(TargetView target, Evidence evidence) {}

    private final OutlierDetector detector;

    EjectionPlanner(OutlierDetector detector) {
        this.detector = detector;
    }

    /**
     * The record as it should be now. The service's own record is replaced by the given one, which
     * may be newer.
     *
     * @return the same record if nothing is to change
     */
    EjectionRecord plan(
            ServiceState service,
            EjectionRecord current,
            NodeId self,
            long nowMillis,
            long platformMillis) {
        // Most services have neither; the floor check looks at all their targets.
        if (current.targets().isEmpty() && suspects(service, nowMillis).isEmpty()) {
            return current;
        }
        FloorCheck floor = service.floor();
        EjectionRecord next = removeGone(service, current, nowMillis);
        next = restoreFloor(floor, next);
        next = readmit(service, floor, next, self, nowMillis, platformMillis);
        return eject(service, floor, next, nowMillis, platformMillis);
    }

    /**
     * Whether time alone changes nothing for a service: it has no record and no outlier. Scores
     * only decay and digests only age until something else happens.
     */
    boolean inactive(ServiceState service, long nowMillis) {
        return service.record().targets().isEmpty() && suspects(service, nowMillis).isEmpty();
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

    /** Whether the present stage went well; empty if it has to go on. */
    private Optional<Boolean> stagePassed(
            ServiceState service, EjectedTarget entry, Readmission progress, long nowMillis) {
        if (entry.stage() == Stage.EJECTED) {
            return progress.goodProbes() >= Readmission.REQUIRED_PROBES
                    ? Optional.of(true)
                    : Optional.empty();
        }
        long inStage = nowMillis - progress.enteredMillis();
        if (inStage < INTERVAL_MILLIS) {
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
        return inStage >= QUIET_INTERVAL_MILLIS ? Optional.of(true) : Optional.empty();
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
     * Compares with the peers' values at the time of the ejection. Used by a hosting node that does
     * not see enough peers itself.
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
        for (Suspect suspect : suspects(service, nowMillis)) {
            TargetId id = suspect.target().id();
            Optional<EjectedTarget> entry = next.find(id);
            if (entry.isPresent() && entry.get().stage() == Stage.EJECTED) {
                continue;
            }
            EjectedTarget ejected =
                    entry.map(old -> relapsed(old, suspect.evidence(), platformMillis))
                            .orElseGet(
                                    () ->
                                            new EjectedTarget(
                                                    id,
                                                    suspect.target().node(),
                                                    Stage.EJECTED,
                                                    platformMillis,
                                                    0,
                                                    suspect.evidence()));
            EjectionRecord candidate = next.with(ejected);
            if (floor.holds(candidate)) {
                next = candidate;
            }
        }
        return next;
    }

    /** Outliers at present, the worst first. */
    private List<Suspect> suspects(ServiceState service, long nowMillis) {
        List<Suspect> suspects = new ArrayList<>();
        for (var received : service.detector().latest()) {
            TargetId id = received._1();
            detector.finding(service.detector(), id, nowMillis)
                    .filter(found -> service.comparable(id))
                    .ifPresent(
                            found ->
                                    suspects.add(
                                            new Suspect(service.targets().get(id).get(), found)));
        }
        service.crashLoops()
                .forEach(
                        (id, crashes) ->
                                service.targets()
                                        .get(id)
                                        .forEach(
                                                view ->
                                                        suspects.add(
                                                                new Suspect(
                                                                        view,
                                                                        Evidence.crashLoop(
                                                                                crashes)))));
        suspects.sort(
                Comparator.comparingDouble((Suspect suspect) -> -suspect.evidence().severity())
                        .thenComparing(suspect -> suspect.target().id()));
        return suspects;
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
