package org.azureshed.sidecar;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.azureshed.directory.Departures;
import org.azureshed.directory.Heartbeat;
import org.azureshed.directory.TargetEntry;
import org.azureshed.directory.TargetRegister;
import org.azureshed.model.TargetState;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.traffic.HostService;
import org.azureshed.traffic.TrafficEvents;

/**
 * Tracks the target beside this node by its heartbeats and acknowledges them. A departure, or a
 * heartbeat of a draining target, is acknowledged once the gate is closed and the new state is
 * stored, but after {@link #MAX_STORE_WAIT_MILLIS} at the latest.
 *
 * <p>A restarted process uses its target from the next heartbeat on, whatever it finds in the store
 * or hears from other nodes: the departure may have been acknowledged while neither could be told.
 */
final class LocalTarget implements TargetListener {
    /**
     * Longest wait for the store before an acknowledgement; less than the second after which a
     * target asks another node for it.
     */
    private static final long MAX_STORE_WAIT_MILLIS = 500;

    /**
     * Longest time after a start in which the target is not used because the former entry of this
     * node, which tells what has departed, cannot be read. Waiting for the whole outage of the
     * store would cost the target's capacity.
     */
    private static final long MAX_FORMER_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int MAX_MISSED_HEARTBEATS = 4;
    private static final long TICK_MILLIS = 250;

    private final TargetRegister register;
    private final Predicate<String> acceptsService;
    private final HostService host;
    private final FleetSync fleet;
    private final EventLoop loop;
    private final TrafficEvents events;
    private final DecisionLog log;
    private final long startNanos = System.nanoTime();

    LocalTarget(
            SidecarSettings settings,
            Predicate<String> acceptsService,
            HostService host,
            FleetSync fleet,
            EventLoop loop,
            TrafficEvents events,
            DecisionLog log) {
        long silenceNanos =
                TimeUnit.MILLISECONDS.toNanos(settings.heartbeatMillis() * MAX_MISSED_HEARTBEATS);
        this.register = new TargetRegister(settings.targetAddress(), silenceNanos);
        this.acceptsService = acceptsService;
        this.host = host;
        this.fleet = fleet;
        this.loop = loop;
        this.events = events;
        this.log = log;
    }

    void start() {
        loop.scheduleAtFixedRate(
                events.guarded("target_tick", this::tick),
                TICK_MILLIS,
                TICK_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Learns from the target entry that a previous process of this node had published. */
    void learn(TargetEntry former) {
        register.learn(former);
        log.write("former_target", "target", former.id(), "condition", former.condition());
        apply();
    }

    /** Takes over departures that a previous process of this node had acknowledged. */
    void adopt(Departures departures) {
        register.adopt(departures);
        apply();
    }

    @Override
    public void heartbeat(Heartbeat heartbeat, Runnable acknowledge) {
        checkArgument(
                acceptsService.test(heartbeat.service()),
                "unknown service %s",
                heartbeat.service());
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
            acknowledgeDeparture(acknowledge);
        } else {
            acknowledge.run();
        }
    }

    @Override
    public void departed(String id, long startMillis, Runnable acknowledge) {
        TargetRegister.Change change = register.depart(id, startMillis, System.currentTimeMillis());
        log.write("departure", "target", id, "born", startMillis, "change", change);
        apply();
        acknowledgeDeparture(acknowledge);
    }

    private void acknowledgeDeparture(Runnable acknowledge) {
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
        long now = System.nanoTime();
        fleet.departuresAcknowledged(register.departures());
        if (fleet.formerEntryKnown() || now - startNanos > MAX_FORMER_WAIT_NANOS) {
            host.apply(register.current(now));
        }
        fleet.announceChanges();
    }
}
