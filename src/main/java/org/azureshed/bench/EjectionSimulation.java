package org.azureshed.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.HdrHistogram.Histogram;
import org.azureshed.ejection.HostMeter;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Pick;

/**
 * Simulates one service under load in virtual time, with one ejection policy. All random numbers
 * come from the seed, so equal seeds give equal results.
 */
final class EjectionSimulation {
    static final String SERVICE = "service";

    /** Percentage of the announced slots that must keep serving in spite of ejections. */
    static final int FLOOR_PERCENT = 60;

    private static final long MICROS_PER_SECOND = 1_000_000;

    /** Requests that may wait at a target, per slot; further ones fail. */
    private static final int MAX_QUEUED_PER_SLOT = 2;

    /** A request that has waited longer fails when its turn comes. */
    private static final long MAX_QUEUE_MICROS = 500_000;

    /** Relative increase of service times when all other slots of the target are in use. */
    private static final double CONTENTION_SLOWDOWN = 0.5;

    /** Factor on the service time of the requests in {@link EjectionScenario#tailShare}. */
    private static final double TAIL_SLOWDOWN = 10;

    /** Results of a run, for requests that arrived after the fault started. */
    static final class Result {
        /** Time from the start of the fault to the first correct ejection, or -1 without one. */
        long detectionMicros = -1;

        /** Ejections of healthy targets, in the whole run. */
        int falseEjections;

        /** Versions of the ejection record that left too few serving slots, in the whole run. */
        int floorViolations;

        long requests;
        long failedRequests;

        /** Requests that were sent to target 0, the one that may have a fault. */
        long toFirstTarget;

        /** Latency of successful short requests that ended after the fault started. */
        final Histogram shortLatencyMicros = new Histogram(60_000_000, 2);
    }

    /** A target and the requests at it. */
    static final class SimulatedTarget {
        final TargetId id;
        final int slots;
        final ArrayDeque<Request> queue = new ArrayDeque<>();
        final RecentOutcomes recentOutcomes = new RecentOutcomes();

        /** Requests that hold a slot. */
        int running;

        /** Long-running requests among them. */
        int longInFlight;

        /** Whether it has restarted and is not ready yet. */
        boolean starting;

        SimulatedTarget(TargetId id, int slots) {
            this.id = id;
            this.slots = slots;
        }
    }

    private static final class Request {
        /** Index in {@link Workload#classes}. */
        int classIndex;

        long arrivedMicros;
        long startedMicros;
        long meterToken;
        int targetIndex;
        int entryNode;
        Pick pick;
        boolean error;

        /** The second class of each workload is declared as long-running. */
        boolean longRunning() {
            return classIndex == 1;
        }
    }

    /** The end of a request or, if {@code request} is null, another action. */
    private record Event(long atMicros, long sequence, Request request, Runnable action) {}

    private final Workload workload;
    private final EjectionScenario scenario;
    private final SplittableRandom random;
    private final List<SimulatedTarget> targets = new ArrayList<>();
    private final HostMeter meter = new HostMeter();
    private final SimulatedRouting routing;
    private final Ejector ejector;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMicros != b.atMicros
                                    ? Long.compare(a.atMicros, b.atMicros)
                                    : Long.compare(a.sequence, b.sequence));
    private final Result result = new Result();
    private final double requestsPerMicrosecond;
    private long nowMicros;
    private long sequence;

    EjectionSimulation(
            Workload workload, EjectionScenario scenario, EjectionPolicy policy, long seed) {
        this(workload, scenario, policy, seed, org.azureshed.ejection.DetectorTuning.DEFAULT);
    }

    EjectionSimulation(
            Workload workload,
            EjectionScenario scenario,
            EjectionPolicy policy,
            long seed,
            org.azureshed.ejection.DetectorTuning tuning) {
        this.workload = workload;
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        int targetCount =
                workload.minTargets()
                        + (int) (seed % (workload.maxTargets() - workload.minTargets() + 1));
        for (int i = 0; i < targetCount; i++) {
            targets.add(new SimulatedTarget(new TargetId("target-" + i), workload.slots()));
        }
        this.routing = new SimulatedRouting(targets);
        double serviceTimeSigma = scenario.serviceTimeSigma();
        double meanMicros =
                Arrays.stream(workload.classes())
                                .mapToDouble(c -> c.share() * c.medianMicros())
                                .sum()
                        * Math.exp(serviceTimeSigma * serviceTimeSigma / 2);
        this.requestsPerMicrosecond =
                workload.utilisation() * targetCount * workload.slots() / meanMicros;
        this.ejector =
                switch (policy) {
                    case NONE -> new Ejector();
                    case CONSECUTIVE_ERRORS -> new ConsecutiveErrorsEjector(this);
                    case AGREED -> new ReducerEjector(this, meter, tuning);
                };
    }

    Result run() {
        schedule(0, this::arrive);
        schedule(MICROS_PER_SECOND, this::tick);
        long end = scenario.durationSeconds() * MICROS_PER_SECOND;
        while (!events.isEmpty() && events.peek().atMicros <= end) {
            Event event = events.poll();
            nowMicros = event.atMicros;
            if (event.request != null) {
                complete(event.request);
            } else {
                event.action.run();
            }
        }
        return result;
    }

    void schedule(long delayMicros, Runnable action) {
        events.add(new Event(nowMicros + delayMicros, sequence++, null, action));
    }

    long nowMicros() {
        return nowMicros;
    }

    /** The next random number of this run, as seed for another generator. */
    long randomSeed() {
        return random.nextLong();
    }

    List<SimulatedTarget> targets() {
        return targets;
    }

    Result result() {
        return result;
    }

    /** Counts an ejection as detection of the fault if its target is faulty, otherwise as false. */
    void recordEjection(TargetId id) {
        boolean faultActive =
                scenario.faulty()
                        && id.equals(targets.get(0).id)
                        && nowMicros >= EjectionScenario.FAULT_START_SECONDS * MICROS_PER_SECOND;
        if (!faultActive) {
            result.falseEjections++;
        } else if (result.detectionMicros < 0) {
            result.detectionMicros =
                    nowMicros - EjectionScenario.FAULT_START_SECONDS * MICROS_PER_SECOND;
        }
    }

    /** Virtual time in seconds. */
    private double seconds() {
        return (double) nowMicros / MICROS_PER_SECOND;
    }

    private void tick() {
        for (int i = 0; i < targets.size(); i++) {
            targets.get(i).starting = scenario.starting(i, seconds());
        }
        routing.updateTargets(targets);
        ejector.tick();
        schedule(MICROS_PER_SECOND, this::tick);
    }

    private void arrive() {
        double arrivalsPerMicrosecond = requestsPerMicrosecond * scenario.demandFactor(seconds());
        schedule(
                (long) (-Math.log(1 - random.nextDouble()) / arrivalsPerMicrosecond), this::arrive);
        Request request = new Request();
        request.arrivedMicros = nowMicros;
        request.classIndex = random.nextDouble() < workload.classes()[0].share() ? 0 : 1;
        boolean measured = seconds() >= EjectionScenario.FAULT_START_SECONDS;
        if (measured) {
            result.requests++;
        }
        request.entryNode = random.nextInt(SimulatedRouting.NODES);
        Optional<Pick> pick =
                routing.pick(
                        request.entryNode,
                        request.longRunning(),
                        ejector::weightPercent,
                        random.nextLong(),
                        nowMicros);
        if (pick.isEmpty()) {
            recordFailure(request);
            return;
        }
        request.pick = pick.get();
        request.targetIndex = routing.indexOf(request.pick);
        if (measured && request.targetIndex == 0) {
            result.toFirstTarget++;
        }
        SimulatedTarget target = targets.get(request.targetIndex);
        if (target.running < target.slots) {
            start(request);
        } else if (target.queue.size() < MAX_QUEUED_PER_SLOT * target.slots) {
            target.queue.add(request);
        } else {
            recordFailure(request);
            deliverAnswer(request);
        }
    }

    /** Delivers the load report and the digest of an answer to the entry node. */
    private void deliverAnswer(Request request) {
        SimulatedTarget target = targets.get(request.targetIndex);
        SimulatedRouting.complete(
                request.pick,
                target.recentOutcomes.report(target, target.longInFlight, nowMicros),
                nowMicros);
        ejector.answerReceived(request.entryNode, target.id);
    }

    private void start(Request request) {
        SimulatedTarget target = targets.get(request.targetIndex);
        Workload.SimulatedClass requestClass = workload.classes()[request.classIndex];
        target.running++;
        target.longInFlight += request.longRunning() ? 1 : 0;
        request.startedMicros = nowMicros;
        double spreadFactor = Math.exp(scenario.serviceTimeSigma() * random.nextGaussian());
        if (random.nextDouble() < scenario.tailShare()) {
            spreadFactor *= TAIL_SLOWDOWN;
        }
        double slowdown = scenario.slowdown(request.targetIndex, request.classIndex, seconds());
        double otherSlotsInUse = (double) (target.running - 1) / (target.slots - 1);
        long serviceMicros =
                (long)
                        (requestClass.medianMicros()
                                * spreadFactor
                                * slowdown
                                * (1 + CONTENTION_SLOWDOWN * otherSlotsInUse));
        request.error = random.nextDouble() < scenario.errorShare(request.targetIndex, seconds());
        if (serviceMicros > requestClass.deadlineMicros()) {
            serviceMicros = requestClass.deadlineMicros();
            request.error = true;
        }
        request.meterToken = meter.started(target.id, requestClass.name(), nowMicros);
        events.add(new Event(nowMicros + serviceMicros, sequence++, request, null));
    }

    private void complete(Request request) {
        SimulatedTarget target = targets.get(request.targetIndex);
        target.running--;
        target.longInFlight -= request.longRunning() ? 1 : 0;
        target.recentOutcomes.add(
                nowMicros, nowMicros - request.startedMicros, request.error, request.longRunning());
        meter.finished(
                request.meterToken,
                request.error ? HostMeter.Result.ERROR : HostMeter.Result.OK,
                nowMicros);
        ejector.requestEnded(target.id, request.error);
        deliverAnswer(request);
        if (request.error) {
            recordFailure(request);
        } else if (request.classIndex == 0 && seconds() >= EjectionScenario.FAULT_START_SECONDS) {
            result.shortLatencyMicros.recordValue(nowMicros - request.arrivedMicros);
        }
        while (target.running < target.slots && !target.queue.isEmpty()) {
            Request next = target.queue.poll();
            if (nowMicros - next.arrivedMicros > MAX_QUEUE_MICROS) {
                recordFailure(next);
                deliverAnswer(next);
            } else {
                start(next);
            }
        }
    }

    /** Counts a failed request if it arrived after the fault started. */
    private void recordFailure(Request request) {
        if (request.arrivedMicros >= EjectionScenario.FAULT_START_SECONDS * MICROS_PER_SECOND) {
            result.failedRequests++;
        }
    }

    /** Decides which targets are ejected. This implementation ejects none. */
    static class Ejector {
        /** Weight of a target in routing, from 0 (ejected) to 100. */
        int weightPercent(TargetId target) {
            return 100;
        }

        /** Called once per second of virtual time. */
        void tick() {}

        /** Called when a request has run at a target. */
        void requestEnded(TargetId target, boolean error) {}

        /** Called when an answer of the target arrives at an entry node. */
        void answerReceived(int entryNode, TargetId target) {}
    }
}
