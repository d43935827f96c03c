package org.azureshed.sidecar;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.Heartbeat;
import org.azureshed.directory.TargetEntry;
import org.azureshed.directory.TargetRegister;
import org.azureshed.model.TargetState;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.traffic.HostService;

/**
 * The target beside this node: what it said about itself, and the acknowledgements it gets. A
 * departure is acknowledged once the gate is closed and, if the store can be reached, once the
 * store knows, so that a restarted process does not open the gate again.
 */
final class LocalTarget implements TargetIntake {
    /** A target waits a second for an acknowledgement and then asks another node. */
    private static final long MAX_STORE_WAIT_MILLIS = 500;

    private static final int SILENT_HEARTBEATS = 4;
    private static final long TICK_MILLIS = 250;

    private final TargetRegister register;
    private final HostService host;
    private final FleetSync fleet;
    private final EventLoop loop;
    private final DecisionLog log;

    LocalTarget(
            SidecarSettings settings,
            HostService host,
            FleetSync fleet,
            EventLoop loop,
            DecisionLog log) {
        long silence =
                TimeUnit.MILLISECONDS.toNanos(settings.heartbeatMillis() * SILENT_HEARTBEATS);
        this.register = new TargetRegister(settings.targetAddress(), silence);
        this.host = host;
        this.fleet = fleet;
        this.loop = loop;
        this.log = log;
    }

    void start() {
        loop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Applies what a former process of this node had published. */
    void restore(TargetEntry entry) {
        boolean known = register.restore(entry, System.nanoTime());
        log.write(
                "target_restored",
                "target",
                entry.id(),
                "condition",
                entry.condition(),
                "served",
                known);
        apply();
    }

    @Override
    public void heartbeat(Heartbeat heartbeat, Runnable acknowledge) {
        TargetRegister.Change change = register.apply(heartbeat, System.nanoTime());
        if (change != TargetRegister.Change.NONE) {
            log.write(
                    "heartbeat",
                    "target",
                    heartbeat.id(),
                    "born",
                    heartbeat.startMillis(),
                    "sequence",
                    heartbeat.sequence(),
                    "state",
                    heartbeat.state(),
                    "change",
                    change);
        }
        apply();
        if (heartbeat.state() == TargetState.DRAINING) {
            acknowledgeLeaving(acknowledge);
        } else {
            acknowledge.run();
        }
    }

    @Override
    public void departed(String id, long startMillis, Runnable acknowledge) {
        TargetRegister.Change change = register.depart(id, startMillis);
        log.write("departure", "target", id, "born", startMillis, "change", change);
        apply();
        acknowledgeLeaving(acknowledge);
    }

    private void acknowledgeLeaving(Runnable acknowledge) {
        Runnable once =
                new Runnable() {
                    private boolean ran;

                    @Override
                    public void run() {
                        if (!ran) {
                            ran = true;
                            acknowledge.run();
                        }
                    }
                };
        fleet.whenStored(once);
        loop.schedule(once, MAX_STORE_WAIT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        apply();
        host.publish();
    }

    private void apply() {
        host.apply(register.current(System.nanoTime()));
    }
}
