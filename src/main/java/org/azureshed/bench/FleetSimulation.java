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

/** One service under load in virtual time. All random numbers come from the seed. */
final class FleetSimulation {
    static final String SERVICE = "service";

    /** Share of the announced slots that ejection has to leave. */
    static final int FLOOR_PERCENT = 60;

    private static final long SECOND = 1_000_000;
    private static final int QUEUE_PER_SLOT = 2;
    private static final long QUEUE_MICROS = 500_000;

    /** A target with all slots busy is slower by this share. */
    private static final double CONTENTION = 0.5;

    private static final double TAIL_FACTOR = 10;

    /** Results of a run. */
    static final class Result {
        long detectedMicros = -1;
        int falseEjections;
        int floorViolations;
        long requests;
        long failed;
        long toFaulty;
        final Histogram shortLatency = new Histogram(60_000_000, 2);
    }

    /** One instance. */
    static final class Target {
        final TargetId id;
        final int slots;
        final ArrayDeque<Request> queue = new ArrayDeque<>();
        final RecentOutcomes recent = new RecentOutcomes();
        int running;
        int longRunning;
        boolean starting;

        Target(TargetId id, int slots) {
            this.id = id;
            this.slots = slots;
        }
    }

    private static final class Request {
        int requestClass;
        long arrivedMicros;
        long startedMicros;
        long token;
        int target;
        int entryNode;
        Pick pick;
        boolean error;

        /** The second class of each workload is declared as long work. */
        boolean longRunning() {
            return requestClass == 1;
        }
    }

    private record Event(long atMicros, long order, Request request, Runnable action) {}

    private final Workload workload;
    private final EjectionScenario scenario;
    private final SplittableRandom random;
    private final List<Target> targets = new ArrayList<>();
    private final HostMeter meter = new HostMeter();
    private final SimulatedRouting routing;
    private final Ejector ejector;
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    (a, b) ->
                            a.atMicros != b.atMicros
                                    ? Long.compare(a.atMicros, b.atMicros)
                                    : Long.compare(a.order, b.order));
    private final Result result = new Result();
    private final double requestsPerMicro;
    private long now;
    private long order;

    FleetSimulation(
            Workload workload, EjectionScenario scenario, EjectionPolicy policy, long seed) {
        this(workload, scenario, policy, seed, org.azureshed.ejection.DetectorTuning.DEFAULT);
    }

    FleetSimulation(
            Workload workload,
            EjectionScenario scenario,
            EjectionPolicy policy,
            long seed,
            org.azureshed.ejection.DetectorTuning tuning) {
        this.workload = workload;
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
        int count =
                workload.minTargets()
                        + (int) (seed % (workload.maxTargets() - workload.minTargets() + 1));
        for (int i = 0; i < count; i++) {
            targets.add(new Target(new TargetId("target-" + i), workload.slots()));
        }
        this.routing = new SimulatedRouting(targets);
        double spread = scenario.spread();
        double meanMicros =
                Arrays.stream(workload.classes())
                                .mapToDouble(c -> c.share() * c.medianMicros())
                                .sum()
                        * Math.exp(spread * spread / 2);
        this.requestsPerMicro = workload.utilisation() * count * workload.slots() / meanMicros;
        this.ejector =
                switch (policy) {
                    case NONE -> new Ejector();
                    case CONSECUTIVE_ERRORS -> new ConsecutiveErrorsEjector(this);
                    case AGREED -> new AgreedEjector(this, meter, tuning);
                };
    }

    Result run() {
        schedule(0, this::arrive);
        schedule(SECOND, this::tick);
        long end = scenario.seconds() * SECOND;
        while (!events.isEmpty() && events.peek().atMicros <= end) {
            Event event = events.poll();
            now = event.atMicros;
            if (event.request != null) {
                complete(event.request);
            } else {
                event.action.run();
            }
        }
        return result;
    }

    void schedule(long delayMicros, Runnable action) {
        events.add(new Event(now + delayMicros, order++, null, action));
    }

    long nowMicros() {
        return now;
    }

    long randomSeed() {
        return random.nextLong();
    }

    List<Target> targets() {
        return targets;
    }

    Result result() {
        return result;
    }

    /** Counts an ejection as detection of the fault or as false. */
    void ejected(TargetId id) {
        boolean sick =
                scenario.faulty()
                        && id.equals(targets.get(0).id)
                        && now >= EjectionScenario.START_SECONDS * SECOND;
        if (!sick) {
            result.falseEjections++;
        } else if (result.detectedMicros < 0) {
            result.detectedMicros = now - EjectionScenario.START_SECONDS * SECOND;
        }
    }

    private double seconds() {
        return (double) now / SECOND;
    }

    private void tick() {
        for (int i = 0; i < targets.size(); i++) {
            targets.get(i).starting = scenario.starting(i, seconds());
        }
        routing.announce(targets);
        ejector.tick();
        schedule(SECOND, this::tick);
    }

    private void arrive() {
        double rate = requestsPerMicro * scenario.demand(seconds());
        schedule((long) (-Math.log(1 - random.nextDouble()) / rate), this::arrive);
        Request request = new Request();
        request.arrivedMicros = now;
        request.requestClass = random.nextDouble() < workload.classes()[0].share() ? 0 : 1;
        boolean counted = seconds() >= EjectionScenario.START_SECONDS;
        if (counted) {
            result.requests++;
        }
        request.entryNode = random.nextInt(SimulatedRouting.NODES);
        Optional<Pick> pick =
                routing.pick(
                        request.entryNode,
                        request.longRunning(),
                        ejector::percent,
                        random.nextLong(),
                        now);
        if (pick.isEmpty()) {
            fail(request);
            return;
        }
        request.pick = pick.get();
        request.target = routing.indexOf(request.pick);
        if (counted && request.target == 0) {
            result.toFaulty++;
        }
        Target target = targets.get(request.target);
        if (target.running < target.slots) {
            start(request);
        } else if (target.queue.size() < QUEUE_PER_SLOT * target.slots) {
            target.queue.add(request);
        } else {
            fail(request);
            answered(request);
        }
    }

    /** The answer carries the load report and the digest to the entry node. */
    private void answered(Request request) {
        Target target = targets.get(request.target);
        SimulatedRouting.answered(
                request.pick, target.recent.report(target, target.longRunning, now), now);
        ejector.answered(request.entryNode, target.id);
    }

    private void start(Request request) {
        Target target = targets.get(request.target);
        Workload.SimulatedClass requestClass = workload.classes()[request.requestClass];
        target.running++;
        target.longRunning += request.longRunning() ? 1 : 0;
        request.startedMicros = now;
        double noise = Math.exp(scenario.spread() * random.nextGaussian());
        if (random.nextDouble() < scenario.tailShare()) {
            noise *= TAIL_FACTOR;
        }
        double slow = scenario.slowdown(request.target, request.requestClass, seconds());
        double busy = (double) (target.running - 1) / (target.slots - 1);
        long micros = (long) (requestClass.medianMicros() * noise * slow * (1 + CONTENTION * busy));
        request.error = random.nextDouble() < scenario.errorShare(request.target, seconds());
        if (micros > requestClass.deadlineMicros()) {
            micros = requestClass.deadlineMicros();
            request.error = true;
        }
        request.token = meter.started(target.id, requestClass.name(), now);
        events.add(new Event(now + micros, order++, request, null));
    }

    private void complete(Request request) {
        Target target = targets.get(request.target);
        target.running--;
        target.longRunning -= request.longRunning() ? 1 : 0;
        target.recent.add(now, now - request.startedMicros, request.error, request.longRunning());
        meter.finished(
                request.token, request.error ? HostMeter.Result.ERROR : HostMeter.Result.OK, now);
        ejector.ended(target.id, request.error);
        answered(request);
        if (request.error) {
            fail(request);
        } else if (request.requestClass == 0 && seconds() >= EjectionScenario.START_SECONDS) {
            result.shortLatency.recordValue(now - request.arrivedMicros);
        }
        while (target.running < target.slots && !target.queue.isEmpty()) {
            Request next = target.queue.poll();
            if (now - next.arrivedMicros > QUEUE_MICROS) {
                fail(next);
                answered(next);
            } else {
                start(next);
            }
        }
    }

    private void fail(Request request) {
        if (request.arrivedMicros >= EjectionScenario.START_SECONDS * SECOND) {
            result.failed++;
        }
    }

    /** Decides the share of requests of each target; this one never ejects. */
    static class Ejector {
        int percent(TargetId target) {
            return 100;
        }

        void tick() {}

        void ended(TargetId target, boolean error) {}

        /** An answer of the target arrived at an entry node. */
        void answered(int entryNode, TargetId target) {}
    }
}
