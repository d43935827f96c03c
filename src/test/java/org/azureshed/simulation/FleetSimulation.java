package org.azureshed.simulation;

import java.lang.reflect.Constructor;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Plays one schedule with a fleet of four nodes, two targets for each of two services.
 *
 * <pre>{@code
 * Journal journal = new FleetSimulation(nodes, Schedule.generate(1)).play();
 * }</pre>
 */
final class FleetSimulation {
    static final int NODES = 4;

    /** Time at which requests end; all disturbances have ended some time before. */
    private static final long TRAFFIC_END_MILLIS = 30_000;

    /** Time for the last answers. */
    private static final long END_MILLIS = TRAFFIC_END_MILLIS + 6_000;

    /** Time from the exit of a process to its next start, after a planned stop. */
    private static final long RESTART_MILLIS = 300;

    /** Time from the change of a node's settings to the start of the target they name. */
    private static final long SETTINGS_LEAD_MILLIS = 500;

    private final VirtualTime time = new VirtualTime();
    private final SimulatedNetwork network = new SimulatedNetwork(time);
    private final Journal journal = new Journal();
    private final StoreParty store = new StoreParty(time, network);
    private final List<Host> hosts = new ArrayList<>();
    private final Constructor<?> nodes;
    private final Schedule schedule;
    private long version;

    /** The VM of one node. */
    private final class Host {
        private final int index;
        private final TargetParty target;
        private final CallerParty callers;
        private final AtomicReference<NodeUnderTest.Settings> replaced = new AtomicReference<>();
        private final List<String> formerLog = new ArrayList<>();
        private SimulatedProcess process;
        private NodeUnderTest node;
        private long clockOffsetMillis;
        private long startedMillis;
        private String settingsService;

        /** Service of the target that will be here once a change is complete. */
        private String nextService;

        private boolean stopping;

        Host(int index) {
            this.index = index;
            this.settingsService = FleetConfiguration.service(index);
            this.nextService = settingsService;
            this.target =
                    new TargetParty(
                            index,
                            settingsService,
                            time,
                            network,
                            journal,
                            other -> hosts.get(other).startedMillis);
            this.callers =
                    new CallerParty(
                            index,
                            time,
                            network,
                            journal,
                            () -> journal.versions().getLast(),
                            schedule.seed());
        }

        void start(boolean firstStart) {
            SimulatedProcess started =
                    new SimulatedProcess(Addresses.node(index), time, network, this::exited);
            started.stepClock(clockOffsetMillis);
            process = started;
            stopping = false;
            startedMillis = time.millis();
            NodeUnderTest.Settings settings = settings(firstStart);
            started.run(
                    () -> {
                        node = create(settings, replaced);
                        node.start();
                    });
        }

        private NodeUnderTest.Settings settings(boolean firstStart) {
            return new NodeUnderTest.Settings(index, settingsService, firstStart);
        }

        private void exited() {
            formerLog.addAll(process.log());
            time.afterMillis(RESTART_MILLIS, () -> restart(true));
        }

        private void restart(boolean planned) {
            start(false);
            disturb(index, planned, time.millis(), time.millis());
        }

        boolean isRunning() {
            return !process.ended() && !process.frozen();
        }

        void kill(long downMillis) {
            if (!process.ended()) {
                process.kill();
                formerLog.addAll(process.log());
                disturb(index, false, time.millis(), time.millis() + downMillis);
                time.afterMillis(downMillis, () -> restart(false));
            }
        }

        void terminate() {
            if (isRunning() && !stopping) {
                stopping = true;
                long until = time.millis() + Addresses.GRACE_MILLIS + RESTART_MILLIS;
                disturb(index, true, time.millis(), until);
                process.run(node::terminate);
            }
        }

        void freeze(long millis) {
            if (isRunning() && !stopping) {
                SimulatedProcess frozen = process;
                frozen.freeze(true);
                disturb(index, false, time.millis(), time.millis() + millis);
                time.afterMillis(millis, () -> frozen.freeze(false));
            }
        }

        void stepClock(long millis) {
            clockOffsetMillis += millis;
            process.stepClock(millis);
            disturb(index, false, time.millis(), time.millis());
        }

        void changeService(boolean signal) {
            boolean onlyOne =
                    hosts.stream().filter(host -> host.nextService.equals(nextService)).count() < 2;
            if (!target.isUp() || target.isLeaving() || onlyOne) {
                return;
            }
            String next = FleetConfiguration.other(nextService);
            nextService = next;
            target.crashAndReturn(2_000, false, next);
            time.afterMillis(
                    2_000 - SETTINGS_LEAD_MILLIS,
                    () -> {
                        settingsService = next;
                        if (signal && isRunning()) {
                            NodeUnderTest.Settings settings = settings(false);
                            process.run(() -> node.reload(settings));
                        } else {
                            replaced.set(settings(false));
                        }
                    });
        }
    }

    /**
     * Prepares a simulation.
     *
     * @param nodes constructor of {@link NodeUnderTest}, of a {@link NodeClassLoader}
     */
    FleetSimulation(Constructor<?> nodes, Schedule schedule) {
        this.nodes = nodes;
        this.schedule = schedule;
    }

    private NodeUnderTest create(
            NodeUnderTest.Settings settings, AtomicReference<NodeUnderTest.Settings> replaced) {
        try {
            return (NodeUnderTest) nodes.newInstance(settings, replaced);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot create a node", e);
        }
    }

    /** Plays the schedule and judges it. */
    Journal play() {
        publish();
        for (int i = 0; i < NODES; i++) {
            hosts.add(new Host(i));
        }
        for (Host host : hosts) {
            host.start(true);
            time.afterMillis(500, () -> host.target.start(false));
            time.at(millisToNanos(Schedule.TRAFFIC_MILLIS), host.callers::start);
            time.at(millisToNanos(TRAFFIC_END_MILLIS), host.callers::stop);
        }
        for (Schedule.Step step : schedule.steps()) {
            time.at(millisToNanos(step.atMillis()), () -> perform(step.action()));
        }
        time.runUntilMillis(END_MILLIS);
        new RuleJudge(journal).judge();
        for (Host host : hosts) {
            log(host).stream()
                    .filter(line -> line.contains(" unexpected_error "))
                    .forEach(line -> journal.violation("UNEXPECTED", line));
        }
        // Netty keeps the resolvers of loops that have not ended.
        hosts.forEach(host -> host.process.kill());
        return journal;
    }

    /** Log lines of all processes that name a text, in the order of nodes. */
    List<String> log(String text) {
        return hosts.stream()
                .flatMap(host -> log(host).stream())
                .filter(line -> line.contains(text))
                .toList();
    }

    private List<String> log(Host host) {
        List<String> lines = new ArrayList<>(host.formerLog);
        lines.addAll(host.process.log());
        return lines;
    }

    private static long millisToNanos(long millis) {
        return millis * 1_000_000;
    }

    private void publish() {
        version++;
        store.put("config", "main", FleetConfiguration.of(version));
        journal.version(new Journal.Version(version, time.millis()));
    }

    private void disturb(int node, boolean planned, long fromMillis, long untilMillis) {
        journal.disturbance(new Journal.Disturbance(node, planned, fromMillis, untilMillis));
    }

    private void disturbLink(int node, int other, long millis) {
        disturb(node, false, time.millis(), time.millis() + millis);
        if (other != Action.ALL) {
            disturb(other, false, time.millis(), time.millis() + millis);
        }
    }

    private void perform(Action action) {
        switch (action) {
            case Action.Kill kill ->
                    affected(kill.node()).forEach(host -> host.kill(kill.downMillis()));
            case Action.Terminate stop -> hosts.get(stop.node()).terminate();
            case Action.Freeze freeze -> hosts.get(freeze.node()).freeze(freeze.millis());
            case Action.StepClock step -> hosts.get(step.node()).stepClock(step.byMillis());
            case Action.Cut cut -> cut(cut);
            case Action.ResetLink link -> {
                network.reset(address(link.first()), address(link.second()));
                network.reset(address(link.second()), address(link.first()));
                disturbLink(link.first(), link.second(), 0);
            }
            case Action.StoreFailure failure -> fail(failure);
            case Action.DropHistory drop -> store.dropHistory();
            case Action.Publish publish -> publish();
            case Action.Misbehave misbehave ->
                    hosts.get(misbehave.node()).target.misbehave(misbehave);
            case Action.Crash crash -> {
                TargetParty target = hosts.get(crash.node()).target;
                if (target.isUp() && !target.isLeaving()) {
                    target.crashAndReturn(crash.downMillis(), crash.sameId(), target.service());
                }
            }
            case Action.Leave leave -> hosts.get(leave.node()).target.leave(leave);
            case Action.LateHeartbeat late ->
                    hosts.get(late.node()).target.sendLateHeartbeat(late.millis());
            case Action.ChangeService change ->
                    hosts.get(change.node()).changeService(change.signal());
            case Action.CallersLeave leave ->
                    hosts.get(leave.node()).callers.leaveAfter(leave.afterMillis(), leave.millis());
            case Action.CallersTrickle trickle ->
                    hosts.get(trickle.node())
                            .callers
                            .trickle(trickle.partBytes(), trickle.millis());
            case Action.CallersReadLate late ->
                    hosts.get(late.node()).callers.readLate(late.lateMillis(), late.millis());
        }
    }

    private List<Host> affected(int node) {
        return node == Action.ALL ? hosts : List.of(hosts.get(node));
    }

    private static String address(int node) {
        return node == Action.ALL ? Addresses.STORE : Addresses.node(node);
    }

    private void cut(Action.Cut cut) {
        String from = address(cut.from());
        String to = address(cut.to());
        network.block(from, to, true);
        if (cut.bothWays()) {
            network.block(to, from, true);
        }
        disturbLink(cut.from(), cut.to(), cut.millis());
        time.afterMillis(
                cut.millis(),
                () -> {
                    network.block(from, to, false);
                    network.block(to, from, false);
                });
    }

    private void fail(Action.StoreFailure failure) {
        for (Host host : affected(failure.node())) {
            store.fault(Addresses.node(host.index), failure.fault());
            time.afterMillis(failure.millis(), () -> store.fault(Addresses.node(host.index), null));
        }
        int disturbed = failure.node() == Action.ALL ? Journal.STORE : failure.node();
        // A late write is part of the disturbance.
        long millis =
                failure.fault() == StoreParty.Fault.LATE_WRITES
                        ? failure.millis() + StoreParty.LATE_WRITE_MILLIS
                        : failure.millis();
        disturb(disturbed, false, time.millis(), time.millis() + millis);
    }
}
