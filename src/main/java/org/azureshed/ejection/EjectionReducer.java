package org.azureshed.ejection;

import io.vavr.collection.Map;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.azureshed.control.Step;
import org.azureshed.model.TargetId;

/**
 * Agrees with the other nodes on the ejected targets of each service by optimistic concurrency
 * control on a record in the platform's store.
 *
 * <p>A change is computed from a fresh read and written on the condition that the record has not
 * changed since. After a conflict or a lost answer the record is read again and the change
 * recomputed.
 */
public final class EjectionReducer {
    /** A call to the platform without an answer for this long counts as lost. */
    private static final long ANSWER_TIMEOUT_MILLIS = 10_000;

    /** Backoff when the platform is unavailable, in addition to the jitter of the next proposal. */
    private static final long UNAVAILABLE_BACKOFF_MILLIS = 5_000;

    /** Shortest time between two probes by this node, whichever targets they probe. */
    private static final long PROBE_INTERVAL_MILLIS = 1_000;

    /** Limits the reads of 2,400 proposing nodes to 250 a second. */
    private static final long JITTER_PER_NODE_MILLIS = 4;

    private static final long MIN_JITTER_MILLIS = 500;
    private static final long MAX_JITTER_MILLIS = 10_000;

    private final OutlierDetector detector;
    private final EjectionPlanner planner;

    /** Creates a reducer with the default tuning. */
    public EjectionReducer() {
        this(DetectorTuning.DEFAULT);
    }

    /**
     * Creates a reducer with another tuning.
     *
     * @param tuning parameters of the outlier detector
     */
    public EjectionReducer(DetectorTuning tuning) {
        this.detector = new OutlierDetector(tuning);
        this.planner = new EjectionPlanner(detector);
    }

    /**
     * Applies one event. Has no side effects.
     *
     * @param state the state before the event
     * @param event the event to apply
     * @return the state after the event, and the side effects to execute
     */
    public Step<EjectionState, EjectionEffect> reduce(EjectionState state, EjectionEvent event) {
        return switch (event) {
            case EjectionEvent.Tick tick -> tick(state.advanceTo(tick.nowMillis()), tick.seed());
            case EjectionEvent.ServiceUpdated seen -> serviceUpdated(state, seen);
            case EjectionEvent.DigestReceived received -> digest(state, received);
            case EjectionEvent.RecordRead read -> recordRead(state, read);
            case EjectionEvent.RecordReceived received -> recordReceived(state, received);
            case EjectionEvent.WriteSucceeded written -> written(state, written);
            case EjectionEvent.WriteConflicted(String service) -> readAgain(state, service);
            case EjectionEvent.AnswerLost(String service) -> readAgain(state, service);
            case EjectionEvent.PlatformUnavailable(String service) ->
                    platformUnavailable(state, service);
            case EjectionEvent.ProbeFinished probe -> probeFinished(state, probe);
            case EjectionEvent.CrashLoopFound(String service, TargetId target, int crashes) ->
                    Step.of(
                            state.with(
                                    service,
                                    state.service(service).withCrashLoop(target, crashes)));
        };
    }

    private static Step<EjectionState, EjectionEffect> serviceUpdated(
            EjectionState state, EjectionEvent.ServiceUpdated seen) {
        ServiceState old = state.service(seen.service());
        ServiceState next = old.withAnnounced(seen, state.nowMillis());
        boolean unused = seen.targets().isEmpty() && next.record().targets().isEmpty();
        return Step.of(unused ? state.without(seen.service()) : state.with(seen.service(), next));
    }

    private Step<EjectionState, EjectionEffect> digest(
            EjectionState state, EjectionEvent.DigestReceived event) {
        ServiceState service = state.service(event.service());
        DetectorState observed =
                detector.observe(
                        service.detector(), event.target(), event.digest(), state.nowMillis());
        return Step.of(state.with(event.service(), service.withDetector(observed)));
    }

    private Step<EjectionState, EjectionEffect> tick(EjectionState state, long seed) {
        EjectionState next = state;
        List<EjectionEffect> effects = new ArrayList<>();
        for (String name : state.active()) {
            ServiceState service = state.service(name).trackGone(state.nowMillis());
            DetectorState evaluated =
                    detector.evaluate(
                            service.detector(), service.comparableSince(), state.nowMillis());
            service = service.withDetector(evaluated);
            boolean idle = service.operation() instanceof Operation.Idle;
            if (idle && planner.inactive(service, state.nowMillis())) {
                next = next.with(name, service).deactivate(name);
            } else {
                Operation operation = advance(next, name, service, seed, effects);
                next = next.with(name, service.withOperation(operation));
            }
        }
        return probe(next, effects);
    }

    private Operation advance(
            EjectionState state,
            String name,
            ServiceState service,
            long seed,
            List<EjectionEffect> effects) {
        long now = state.nowMillis();
        boolean backingOff = now < state.backoffUntilMillis();
        return switch (service.operation()) {
            case Operation.Idle idle ->
                    !backingOff && wantsChange(state, service)
                            ? new Operation.Waiting(now + jitter(seed, name, service.nodes()))
                            : idle;
            case Operation.Waiting waiting -> {
                if (now < waiting.dueMillis()) {
                    yield waiting;
                }
                if (backingOff || !wantsChange(state, service)) {
                    yield new Operation.Idle();
                }
                effects.add(new EjectionEffect.ReadRecord(name));
                yield new Operation.Reading(now);
            }
            case Operation.Reading reading ->
                    rereadAfterTimeout(name, reading, reading.sinceMillis(), now, effects);
            case Operation.Writing writing ->
                    rereadAfterTimeout(name, writing, writing.sinceMillis(), now, effects);
        };
    }

    private static Operation rereadAfterTimeout(
            String name, Operation current, long since, long now, List<EjectionEffect> effects) {
        if (now - since < ANSWER_TIMEOUT_MILLIS) {
            return current;
        }
        effects.add(new EjectionEffect.ReadRecord(name));
        return new Operation.Reading(now);
    }

    private boolean wantsChange(EjectionState state, ServiceState service) {
        EjectionRecord record = service.record();
        return !planner.plan(service, record, state.self(), state.nowMillis(), 0).equals(record);
    }

    private static long jitter(long seed, String service, int nodes) {
        long bound =
                Math.clamp(nodes * JITTER_PER_NODE_MILLIS, MIN_JITTER_MILLIS, MAX_JITTER_MILLIS);
        return new SplittableRandom(seed ^ service.hashCode()).nextLong(bound);
    }

    private Step<EjectionState, EjectionEffect> recordRead(
            EjectionState state, EjectionEvent.RecordRead read) {
        String name = read.record().service();
        ServiceState old = state.service(name);
        List<EjectionEffect> effects = new ArrayList<>();
        ServiceState service = adopt(state, old, read.record(), read.version(), effects);
        if (!(service.operation() instanceof Operation.Reading)) {
            return new Step<>(state.with(name, service), effects);
        }
        EjectionRecord wanted =
                planner.plan(
                        service,
                        read.record(),
                        state.self(),
                        state.nowMillis(),
                        read.platformMillis());
        if (wanted.equals(read.record())) {
            return new Step<>(
                    state.with(name, service.withOperation(new Operation.Idle())), effects);
        }
        effects.add(new EjectionEffect.WriteRecord(wanted, read.version()));
        Operation writing = new Operation.Writing(wanted, state.nowMillis());
        return new Step<>(state.with(name, service.withOperation(writing)), effects);
    }

    private static Step<EjectionState, EjectionEffect> recordReceived(
            EjectionState state, EjectionEvent.RecordReceived received) {
        String name = received.record().service();
        ServiceState service = state.service(name);
        if (received.version() <= service.version()) {
            return Step.of(state);
        }
        List<EjectionEffect> effects = new ArrayList<>();
        ServiceState next = adopt(state, service, received.record(), received.version(), effects);
        return new Step<>(state.with(name, next), effects);
    }

    private static Step<EjectionState, EjectionEffect> written(
            EjectionState state, EjectionEvent.WriteSucceeded event) {
        String name = event.record().service();
        ServiceState service = state.service(name);
        // The answer to a write that timed out here may arrive during a later operation.
        if (event.version() <= service.version()) {
            return Step.of(state);
        }
        boolean current =
                service.operation() instanceof Operation.Writing(EjectionRecord record, long since)
                        && record.equals(event.record());
        List<EjectionEffect> effects = new ArrayList<>();
        ServiceState next = adopt(state, service, event.record(), event.version(), effects);
        Operation operation = current ? new Operation.Idle() : next.operation();
        return new Step<>(state.with(name, next.withOperation(operation)), effects);
    }

    private static ServiceState adopt(
            EjectionState state,
            ServiceState service,
            EjectionRecord record,
            long version,
            List<EjectionEffect> effects) {
        if (!record.equals(service.record())) {
            effects.add(new EjectionEffect.RecordChanged(service.record(), record, version));
        }
        return service.adopt(record, version, state.self(), state.nowMillis());
    }

    private static Step<EjectionState, EjectionEffect> readAgain(EjectionState state, String name) {
        ServiceState service = state.service(name);
        if (!(service.operation() instanceof Operation.Writing)) {
            return Step.of(state);
        }
        Operation reading = new Operation.Reading(state.nowMillis());
        return new Step<>(
                state.with(name, service.withOperation(reading)),
                List.of(new EjectionEffect.ReadRecord(name)));
    }

    private static Step<EjectionState, EjectionEffect> platformUnavailable(
            EjectionState state, String name) {
        ServiceState idle = state.service(name).withOperation(new Operation.Idle());
        return Step.of(
                state.with(name, idle)
                        .withBackoffUntil(state.nowMillis() + UNAVAILABLE_BACKOFF_MILLIS));
    }

    private static Step<EjectionState, EjectionEffect> probeFinished(
            EjectionState state, EjectionEvent.ProbeFinished event) {
        ServiceState service = state.service(event.service());
        return Step.of(
                service.readmissions()
                        .get(event.target())
                        .map(
                                progress ->
                                        state.with(
                                                event.service(),
                                                service.withReadmission(
                                                        event.target(),
                                                        progress.withProbeResult(event.good()))))
                        .getOrElse(state));
    }

    /** Probes the hosted target whose last probe is oldest, if one is due. */
    private static Step<EjectionState, EjectionEffect> probe(
            EjectionState state, List<EjectionEffect> effects) {
        if (state.nowMillis() - state.lastProbeMillis() < PROBE_INTERVAL_MILLIS) {
            return new Step<>(state, effects);
        }
        // A service with an ejected target is always active.
        Optional<EjectionEffect.Probe> due =
                state.active()
                        .toJavaStream()
                        .flatMap(name -> dueProbes(state, name, state.service(name)))
                        .min(Comparator.comparingLong(DueProbe::lastMillis))
                        .map(DueProbe::probe);
        if (due.isEmpty()) {
            return new Step<>(state, effects);
        }
        effects.add(due.get());
        ServiceState service = state.service(due.get().service());
        TargetId target = due.get().target();
        Readmission progress = service.readmissions().get(target).get();
        ServiceState probed =
                service.withReadmission(target, progress.withProbeAt(state.nowMillis()));
        return new Step<>(state.with(due.get().service(), probed).probedNow(), effects);
    }

    private record DueProbe(long lastMillis, EjectionEffect.Probe probe) {}

    private static java.util.stream.Stream<DueProbe> dueProbes(
            EjectionState state, String name, ServiceState service) {
        Map<TargetId, Readmission> readmissions = service.readmissions();
        return service.record().targets().stream()
                .filter(
                        entry ->
                                readmissions
                                        .get(entry.target())
                                        .exists(
                                                progress ->
                                                        progress.mayProbe(
                                                                entry.relapses(),
                                                                state.nowMillis())))
                .map(
                        entry ->
                                new DueProbe(
                                        readmissions.get(entry.target()).get().lastProbeMillis(),
                                        new EjectionEffect.Probe(name, entry.target())));
    }
}
