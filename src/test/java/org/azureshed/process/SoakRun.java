package org.azureshed.process;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.StoreStandIn;

/** Runs one seed: starts a fleet, injects the faults of the plan and checks what was recorded. */
final class SoakRun {
    private static final int CALLERS_PER_NODE = 3;

    /** Time after the last fault in which the fleet recovers. */
    private static final long RECOVERY_MILLIS = 15_000;

    private static final long RECOVERY_CHECK_MILLIS = 2_000;
    private static final long START_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_INTERVAL_MILLIS = 50;

    /** Memory of a slot of the platform's smallest VMs. */
    private static final long MAX_MEMORY_MEGABYTES = 330;

    private final long seed;
    private final int nodes;
    private final long trafficMillis;
    private final SoakJournal journal = new SoakJournal();
    private final SoakVersions versions = new SoakVersions();
    private final List<Thread> faultThreads = new ArrayList<>();
    private SoakFleet fleet;

    SoakRun(long seed, int nodes, long trafficMillis) {
        this.seed = seed;
        this.nodes = nodes;
        this.trafficMillis = trafficMillis;
    }

    /** Runs the seed and returns the violations. */
    List<String> run() throws Exception {
        SoakPlan plan = SoakPlan.generate(seed, nodes, trafficMillis);
        try (SoakFleet started = new SoakFleet("seed-" + seed, nodes, journal)) {
            fleet = started;
            await("all nodes are ready", START_TIMEOUT_MILLIS, this::allReady);
            TimeUnit.MILLISECONDS.sleep(SoakTarget.HEARTBEAT_MILLIS * 2);
            List<SoakCaller> callers = new ArrayList<>();
            List<Thread> threads = new ArrayList<>();
            for (int i = 0; i < nodes * CALLERS_PER_NODE; i++) {
                callers.add(
                        new SoakCaller(
                                i % nodes,
                                "s" + seed + '-' + i,
                                fleet,
                                journal,
                                versions,
                                new SplittableRandom(seed * 31 + i)));
                threads.add(Thread.startVirtualThread(callers.getLast()));
            }
            injectFaults(plan);
            long faultsEndedNanos = System.nanoTime();
            await("the fleet is ready again", RECOVERY_MILLIS, this::allReady);
            sleepUntil(faultsEndedNanos + TimeUnit.MILLISECONDS.toNanos(RECOVERY_MILLIS));
            long checkFromNanos = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(RECOVERY_CHECK_MILLIS);
            callers.forEach(SoakCaller::stop);
            for (Thread thread : threads) {
                thread.join();
            }
            checkRecovery(checkFromNanos);
            checkMemory();
        }
        SoakChecker.check(journal);
        return journal.violations();
    }

    SoakJournal journal() {
        return journal;
    }

    private void injectFaults(SoakPlan plan) throws InterruptedException {
        long start = System.nanoTime();
        for (SoakPlan.Step step : plan.steps()) {
            sleepUntil(start + TimeUnit.MILLISECONDS.toNanos(step.atMillis()));
            faultThreads.add(Thread.startVirtualThread(() -> inject(step.fault())));
        }
        for (Thread fault : faultThreads) {
            fault.join();
        }
    }

    private void inject(SoakFault fault) {
        try {
            switch (fault) {
                case SoakFault.Kill kill ->
                        injectAndRecord(
                                fault, kill.node(), false, () -> kill(kill.node(), kill, 0));
                case SoakFault.ClockSetBack clock ->
                        injectAndRecord(
                                fault, clock.node(), false, () -> kill(clock.node(), null, 600));
                case SoakFault.Pause pause ->
                        injectAndRecord(fault, pause.node(), false, () -> pause(pause));
                case SoakFault.Terminate stop ->
                        injectAndRecord(fault, stop.node(), true, () -> terminate(stop.node()));
                case SoakFault.RewriteSettings settings ->
                        injectAndRecord(
                                fault, settings.node(), true, () -> rewriteSettings(settings));
                case SoakFault.Cut cut -> injectAndRecord(fault, cut.node(), false, () -> cut(cut));
                case SoakFault.Delay delay ->
                        injectAndRecord(fault, delay.node(), false, () -> delay(delay));
                case SoakFault.ResetConnections reset ->
                        injectAndRecord(fault, reset.node(), false, () -> reset(reset));
                case SoakFault.StallConnections stall ->
                        injectAndRecord(fault, stall.node(), false, () -> stall(stall));
                case SoakFault.StoreFailure store ->
                        injectAndRecord(
                                fault, SoakJournal.ALL_NODES, false, () -> failStore(store));
                case SoakFault.StoreHistoryLoss ignored ->
                        injectAndRecord(fault, SoakJournal.ALL_NODES, false, this::dropHistory);
                case SoakFault.TargetFailure failure ->
                        injectAndRecord(fault, failure.node(), false, () -> failTarget(failure));
                case SoakFault.TargetCrash crash ->
                        injectAndRecord(fault, crash.node(), false, () -> crashTarget(crash));
                case SoakFault.TargetDeparture departure ->
                        injectAndRecord(fault, departure.node(), true, () -> depart(departure));
                case SoakFault.Reconfigure ignored -> reconfigure();
            }
        } catch (Exception e) {
            journal.recordViolation("soak", fault + " could not be injected: " + e);
        }
    }

    private void injectAndRecord(
            SoakFault fault, int node, boolean planned, Callable<Void> injection) throws Exception {
        SoakJournal.Disturbance disturbance =
                journal.beginDisturbance(fault.toString(), node, planned);
        try {
            if (node == SoakJournal.ALL_NODES) {
                injection.call();
            } else {
                // Faults of the same node are injected one after the other.
                synchronized (fleet.nodes().get(node)) {
                    injection.call();
                }
            }
        } finally {
            journal.endDisturbance(disturbance);
        }
    }

    private Void kill(int index, SoakFault.Kill kill, long clockSetBackSeconds) throws Exception {
        SoakFleet.Node node = fleet.nodes().get(index);
        fleet.kill(node);
        versions.forgetNode(index);
        if (clockSetBackSeconds > 0) {
            fleet.raiseStoredIncarnation(node, TimeUnit.SECONDS.toMillis(clockSetBackSeconds));
        } else {
            TimeUnit.MILLISECONDS.sleep(kill.downMillis());
        }
        return restart(node);
    }

    private Void restart(SoakFleet.Node node) throws Exception {
        fleet.writeSettings(node, false);
        fleet.start(node);
        int index = fleet.nodes().indexOf(node);
        // Does not wait longer, since the next fault may also hit a node that is not ready.
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        while (System.nanoTime() < end && !fleet.ready(index)) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        return null;
    }

    private Void pause(SoakFault.Pause pause) throws Exception {
        SoakFleet.Node node = fleet.nodes().get(pause.node());
        fleet.signal(node, "STOP");
        TimeUnit.MILLISECONDS.sleep(pause.millis());
        fleet.signal(node, "CONT");
        return null;
    }

    private Void terminate(int index) throws Exception {
        SoakFleet.Node node = fleet.nodes().get(index);
        fleet.terminate(node);
        versions.forgetNode(index);
        return restart(node);
    }

    private Void rewriteSettings(SoakFault.RewriteSettings settings) throws Exception {
        SoakFleet.Node node = fleet.nodes().get(settings.node());
        fleet.writeSettings(node, false);
        if (settings.signal()) {
            fleet.signal(node, "HUP");
        }
        return null;
    }

    private List<FaultInjectingRelay> relays(int node, SoakFault.Link link) {
        return fleet.nodes().get(node).relays(link);
    }

    private Void cut(SoakFault.Cut cut) throws InterruptedException {
        for (FaultInjectingRelay relay : relays(cut.node(), cut.link())) {
            if (cut.direction() == null) {
                relay.cut(
                        FaultInjectingRelay.Direction.REQUESTS,
                        FaultInjectingRelay.Direction.RESPONSES);
            } else {
                relay.cut(cut.direction());
            }
        }
        return restoreAfter(cut.millis(), cut.node(), cut.link());
    }

    private Void delay(SoakFault.Delay delay) throws InterruptedException {
        relays(delay.node(), delay.link()).forEach(relay -> relay.delay(delay.delayMillis()));
        return restoreAfter(delay.millis(), delay.node(), delay.link());
    }

    private Void restoreAfter(long millis, int node, SoakFault.Link link)
            throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
        relays(node, link).forEach(FaultInjectingRelay::restore);
        return null;
    }

    private Void reset(SoakFault.ResetConnections reset) throws Exception {
        for (FaultInjectingRelay relay : relays(reset.node(), reset.link())) {
            relay.resetConnections();
        }
        return null;
    }

    private Void stall(SoakFault.StallConnections stall) {
        relays(stall.node(), stall.link()).forEach(FaultInjectingRelay::stallConnections);
        return null;
    }

    private Void failStore(SoakFault.StoreFailure failure) throws InterruptedException {
        fleet.store().fault(failure.fault());
        if (failure.fault() == StoreStandIn.Fault.SWALLOWED_ANSWERS) {
            // Waiting watches get an answer, which is lost, only if there is a change.
            TimeUnit.MILLISECONDS.sleep(failure.millis() / 2);
            reconfigure();
            TimeUnit.MILLISECONDS.sleep(failure.millis() / 2);
        } else {
            TimeUnit.MILLISECONDS.sleep(failure.millis());
        }
        fleet.store().fault(StoreStandIn.Fault.NONE);
        return null;
    }

    private Void dropHistory() {
        fleet.store().dropHistory();
        return null;
    }

    private Void failTarget(SoakFault.TargetFailure failure) throws InterruptedException {
        SoakTarget target = fleet.nodes().get(failure.node()).target();
        target.setFailure(failure);
        TimeUnit.MILLISECONDS.sleep(failure.millis());
        target.setFailure(null);
        return null;
    }

    private Void crashTarget(SoakFault.TargetCrash crash) throws Exception {
        SoakTarget target = fleet.nodes().get(crash.node()).target();
        target.crash();
        TimeUnit.MILLISECONDS.sleep(crash.downMillis());
        target.replace();
        return null;
    }

    private Void depart(SoakFault.TargetDeparture departure) throws Exception {
        fleet.nodes().get(departure.node()).target().depart(departure.announced());
        return null;
    }

    private void reconfigure() {
        fleet.reconfigure();
        versions.recordAccepted(fleet.configurationVersion());
    }

    private boolean allReady() throws InterruptedException {
        for (int i = 0; i < nodes; i++) {
            if (!fleet.ready(i)) {
                return false;
            }
        }
        return true;
    }

    private void checkRecovery(long checkFromNanos) {
        for (SoakJournal.Call call : journal.calls()) {
            boolean served = call.status() == 200 || call.path().equals("/slow/");
            if (call.sentNanos() - checkFromNanos > 0 && !served) {
                journal.recordViolation("recovery", call.toString());
            }
        }
    }

    private void checkMemory() throws Exception {
        for (SoakFleet.Node node : fleet.nodes()) {
            long peak = fleet.peakMemoryMegabytes(node);
            if (peak > MAX_MEMORY_MEGABYTES) {
                journal.recordViolation("memory", peak + " MB");
            }
        }
    }

    private void await(String description, long millis, Callable<Boolean> condition)
            throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                journal.recordViolation("recovery", "not within " + millis + " ms: " + description);
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long remainingNanos = nanos - System.nanoTime();
        if (remainingNanos > 0) {
            TimeUnit.NANOSECONDS.sleep(remainingNanos);
        }
    }
}
