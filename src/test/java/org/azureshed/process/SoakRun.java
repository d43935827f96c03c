package org.azureshed.process;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.StoreStandIn;

/** One seed: starts a fleet, brings the planned faults about, and judges what was seen. */
final class SoakRun {
    private static final int CALLERS_PER_NODE = 3;

    /** The fleet serves again by this time after the last fault has ended. */
    private static final long RECOVERY_MILLIS = 15_000;

    private static final long CALM_MILLIS = 2_000;
    private static final long START_MILLIS = 20_000;
    private static final long POLL_MILLIS = 50;

    /** Memory of a VM's slot, as the smallest VMs of the platform have it. */
    private static final long MEMORY_MEGABYTES = 330;

    private final long seed;
    private final int nodes;
    private final long trafficMillis;
    private final SoakJournal journal = new SoakJournal();
    private final SoakVersions versions = new SoakVersions();
    private final List<Thread> faults = new ArrayList<>();
    private SoakFleet fleet;

    SoakRun(long seed, int nodes, long trafficMillis) {
        this.seed = seed;
        this.nodes = nodes;
        this.trafficMillis = trafficMillis;
    }

    /** Plays the seed and returns the broken promises. */
    List<String> play() throws Exception {
        SoakPlan plan = SoakPlan.draw(seed, nodes, trafficMillis);
        try (SoakFleet started = new SoakFleet("seed-" + seed, nodes, journal)) {
            fleet = started;
            await("all nodes are ready", START_MILLIS, this::allReady);
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
            carryOut(plan);
            long healed = System.nanoTime();
            await("the fleet is ready again", RECOVERY_MILLIS, this::allReady);
            sleepUntil(healed + TimeUnit.MILLISECONDS.toNanos(RECOVERY_MILLIS));
            long calm = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
            callers.forEach(SoakCaller::stop);
            for (Thread thread : threads) {
                thread.join();
            }
            checkRecovery(calm);
            checkMemory();
        }
        SoakVerdict.judge(journal);
        return journal.violations();
    }

    SoakJournal journal() {
        return journal;
    }

    private void carryOut(SoakPlan plan) throws InterruptedException {
        long start = System.nanoTime();
        for (SoakPlan.Step step : plan.steps()) {
            sleepUntil(start + TimeUnit.MILLISECONDS.toNanos(step.atMillis()));
            faults.add(Thread.startVirtualThread(() -> carryOut(step.fault())));
        }
        for (Thread fault : faults) {
            fault.join();
        }
    }

    private void carryOut(SoakFault fault) {
        try {
            switch (fault) {
                case SoakFault.Kill kill ->
                        disturbed(fault, kill.node(), false, () -> kill(kill.node(), kill, 0));
                case SoakFault.ClockBehind clock ->
                        disturbed(fault, clock.node(), false, () -> kill(clock.node(), null, 600));
                case SoakFault.Pause pause ->
                        disturbed(fault, pause.node(), false, () -> pause(pause));
                case SoakFault.Terminate stop ->
                        disturbed(fault, stop.node(), true, () -> terminate(stop.node()));
                case SoakFault.Resettle settings ->
                        disturbed(fault, settings.node(), true, () -> resettle(settings));
                case SoakFault.Cut cut -> disturbed(fault, cut.node(), false, () -> cut(cut));
                case SoakFault.Delay delay ->
                        disturbed(fault, delay.node(), false, () -> delay(delay));
                case SoakFault.Reset reset ->
                        disturbed(fault, reset.node(), false, () -> reset(reset));
                case SoakFault.Silence silence ->
                        disturbed(fault, silence.node(), false, () -> silence(silence));
                case SoakFault.StoreFails store ->
                        disturbed(fault, SoakJournal.ALL_NODES, false, () -> storeFails(store));
                case SoakFault.HistoryDropped ignored ->
                        disturbed(fault, SoakJournal.ALL_NODES, false, this::dropHistory);
                case SoakFault.TargetFails target ->
                        disturbed(fault, target.node(), false, () -> targetFails(target));
                case SoakFault.TargetCrashes crash ->
                        disturbed(fault, crash.node(), false, () -> targetCrashes(crash));
                case SoakFault.TargetLeaves leave ->
                        disturbed(fault, leave.node(), true, () -> leave(leave));
                case SoakFault.Reconfigure ignored -> reconfigure();
            }
        } catch (Exception e) {
            journal.violated("soak", fault + " could not be carried out: " + e);
        }
    }

    private void disturbed(SoakFault fault, int node, boolean planned, Callable<Void> work)
            throws Exception {
        SoakJournal.Disturbance disturbance = journal.disturb(fault.toString(), node, planned);
        try {
            if (node == SoakJournal.ALL_NODES) {
                work.call();
            } else {
                // Faults of one node that need its process come one after the other.
                synchronized (fleet.nodes().get(node)) {
                    work.call();
                }
            }
        } finally {
            journal.ended(disturbance);
        }
    }

    private Void kill(int index, SoakFault.Kill kill, long clockBehindMillis) throws Exception {
        SoakFleet.Node node = fleet.nodes().get(index);
        fleet.kill(node);
        versions.forget(index);
        if (clockBehindMillis > 0) {
            fleet.raiseStoredStart(node, TimeUnit.SECONDS.toMillis(clockBehindMillis));
        } else {
            TimeUnit.MILLISECONDS.sleep(kill.downMillis());
        }
        return restart(node);
    }

    private Void restart(SoakFleet.Node node) throws Exception {
        fleet.writeSettings(node, false);
        fleet.start(node);
        int index = fleet.nodes().indexOf(node);
        // The next fault of this node may come before it is ready.
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
        while (System.nanoTime() < end && !fleet.ready(index)) {
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
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
        versions.forget(index);
        return restart(node);
    }

    private Void resettle(SoakFault.Resettle settings) throws Exception {
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

    private Void reset(SoakFault.Reset reset) throws Exception {
        for (FaultInjectingRelay relay : relays(reset.node(), reset.link())) {
            relay.resetConnections();
        }
        return null;
    }

    private Void silence(SoakFault.Silence silence) {
        relays(silence.node(), silence.link()).forEach(FaultInjectingRelay::stallConnections);
        return null;
    }

    private Void storeFails(SoakFault.StoreFails fails) throws InterruptedException {
        fleet.store().fault(fails.fault());
        TimeUnit.MILLISECONDS.sleep(fails.millis());
        fleet.store().fault(StoreStandIn.Fault.NONE);
        return null;
    }

    private Void dropHistory() {
        fleet.store().dropHistory();
        return null;
    }

    private Void targetFails(SoakFault.TargetFails fails) throws InterruptedException {
        SoakTarget target = fleet.nodes().get(fails.node()).target();
        target.trouble(fails);
        TimeUnit.MILLISECONDS.sleep(fails.millis());
        target.trouble(null);
        return null;
    }

    private Void targetCrashes(SoakFault.TargetCrashes crash) throws Exception {
        SoakTarget target = fleet.nodes().get(crash.node()).target();
        target.crash();
        TimeUnit.MILLISECONDS.sleep(crash.downMillis());
        target.replace();
        return null;
    }

    private Void leave(SoakFault.TargetLeaves leave) throws Exception {
        fleet.nodes().get(leave.node()).target().leave(leave.announced());
        return null;
    }

    private void reconfigure() {
        fleet.reconfigure();
        versions.accepted(fleet.version());
    }

    private boolean allReady() throws InterruptedException {
        for (int i = 0; i < nodes; i++) {
            if (!fleet.ready(i)) {
                return false;
            }
        }
        return true;
    }

    private void checkRecovery(long calmNanos) {
        for (SoakJournal.Call call : journal.calls()) {
            boolean served = call.status() == 200 || call.path().equals("/slow/");
            if (call.sentNanos() - calmNanos > 0 && !served) {
                journal.violated("recovery", call.toString());
            }
        }
    }

    private void checkMemory() throws Exception {
        for (SoakFleet.Node node : fleet.nodes()) {
            long peak = fleet.peakMegabytes(node);
            if (peak > MEMORY_MEGABYTES) {
                journal.violated("memory", peak + " MB");
            }
        }
    }

    private void await(String what, long millis, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        while (!condition.call()) {
            if (System.nanoTime() > end) {
                journal.violated("recovery", "not within " + millis + " ms: " + what);
                return;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private static void sleepUntil(long nanos) throws InterruptedException {
        long left = nanos - System.nanoTime();
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }
}
