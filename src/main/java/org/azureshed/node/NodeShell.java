package org.azureshed.node;

import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.admission.Admission;
import org.azureshed.control.ActivePreset;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.Effect;
import org.azureshed.control.Snapshot;
import org.azureshed.distribution.ContentStore;
import org.azureshed.distribution.DistributionEffect;
import org.azureshed.distribution.internal.DistributionShell;
import org.azureshed.distribution.internal.PresetFeed;
import org.azureshed.generated.ControlMessage;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.internal.KeyShell;
import org.azureshed.membership.MembershipEffect;
import org.azureshed.membership.internal.FleetShell;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.ServicePolicy;
import org.azureshed.platform.ObjectStore;
import org.azureshed.preset.PresetChunks;
import org.azureshed.telemetry.EventLog;
import org.azureshed.telemetry.FleetMetrics;
import org.azureshed.transport.ControlHandler;
import org.azureshed.transport.TransportError;

/** Carries out the effects of the control reducer and runs the background threads of the node. */
@Singleton
final class NodeShell {
    private final NodeInfo self;
    private final SelfPublisher publisher;
    private final NodeWatcher nodes;
    private final RelayRole relay;
    private final PresetFeed presets;
    private final NodeRecords records;
    private final Admission admission;
    private final FleetMetrics metrics;
    private final FleetShell fleet;
    private final DistributionShell distribution;
    private final KeyShell keys;
    private final HealthShell health;
    private final EjectionWatcher ejections;
    private final Provider<ControlLoop> control;
    private final List<Thread> threads = new ArrayList<>();

    @Inject
    NodeShell(
            NodeInfo self,
            ObjectStore store,
            ContentStore contents,
            SelfPublisher publisher,
            NodeWatcher nodes,
            RelayRole relay,
            NodeRecords records,
            Admission admission,
            FleetMetrics metrics,
            HealthShell health,
            EjectionWatcher ejections,
            Provider<ControlLoop> control) {
        this.health = health;
        this.ejections = ejections;
        this.self = self;
        this.control = control;
        this.publisher = publisher;
        this.nodes = nodes;
        this.relay = relay;
        this.records = records;
        this.admission = admission;
        this.metrics = metrics;
        this.fleet =
                FleetShell.create(
                        event -> control.get().submit(new ControlEvent.Membership(event)),
                        this::carryOutOther,
                        this::received);
        this.distribution =
                new DistributionShell(
                        fleet.transport(),
                        contents,
                        PresetFeed::chunks,
                        store,
                        PresetChunks.KIND,
                        event -> control.get().submit(new ControlEvent.Distribution(event)),
                        this::carryOutPreset);
        this.keys =
                new KeyShell(
                        new NodeInstance(self.id(), self.incarnation()),
                        store,
                        fleet.transport(),
                        this::controlAddress,
                        event -> control.get().submit(new ControlEvent.Keys(event)));
        this.presets =
                new PresetFeed(
                        store,
                        contents,
                        event -> control.get().submit(new ControlEvent.Distribution(event)),
                        active -> control.get().submit(new ControlEvent.PresetReceived(active)));
    }

    /**
     * Opens the control listener and starts the background threads.
     *
     * @param listener address of the control listener
     * @throws IllegalStateException if the control port cannot be opened
     */
    void start(Endpoint listener) {
        health.start();
        // Other nodes must know a node without targets too, and no later change publishes its
        // record.
        publisher.publish(self);
        fleet.start(listener)
                .peekLeft(
                        (TransportError error) -> {
                            throw new IllegalStateException(error.message());
                        });
        keys.start();
        startThread("ejection-watcher", ejections::run);
        startThread("self-publisher", publisher::run);
        startThread("node-watcher", nodes::run);
    }

    private void startThread(String name, Runnable work) {
        threads.add(Thread.ofVirtual().name(name).start(work));
    }

    /** Stops the background threads and closes the control connections. */
    void stop() {
        threads.forEach(Thread::interrupt);
        presets.carryOut(new DistributionEffect.WatchIndex(false));
        keys.close();
        health.close();
        fleet.close();
    }

    /**
     * Carries out one effect. Runs on the control thread and does not block.
     *
     * @param effect the effect
     */
    void carryOut(Effect effect) {
        switch (effect) {
            case Effect.PublishSelf(NodeInfo record) -> publisher.publish(record);
            case Effect.PresetInForce(ActivePreset active) -> logActivation(active);
            case Effect.PublishSnapshot(Snapshot snapshot) -> applyToAdmission(snapshot);
            case Effect.Membership(var membership) -> fleet.carryOut(membership);
            case Effect.Distribution(var content) -> distribution.carryOut(content);
            case Effect.Keys(var key) -> keys.carryOut(key);
            case Effect.Ejection(var ejection) -> health.carryOut(ejection);
            case Effect.Poison(var poison) -> health.carryOut(poison);
        }
    }

    private void carryOutPreset(DistributionEffect effect) {
        if (effect instanceof DistributionEffect.WatchIndex(boolean watch)) {
            relay.set(watch);
        }
        presets.carryOut(effect);
    }

    private void carryOutOther(MembershipEffect effect) {
        switch (effect) {
            case MembershipEffect.DeleteRecord delete -> records.delete(delete);
            case MembershipEffect.GossipEntriesReceived(var deltas) -> health.received(deltas);
            case MembershipEffect.DuplicateNodeId(NodeInfo other) ->
                    EventLog.warning("duplicate_node_id")
                            .with("node", other.id())
                            .with("other_host", other.host())
                            .with("remedy", "give each node its own --node-id")
                            .write();
            case MembershipEffect.ReachabilityChanged(var peer, boolean reachable) ->
                    EventLog.info("reachability_changed")
                            .with("peer", peer)
                            .with("reachable", reachable)
                            .write();
            default -> {
                // Carried out by FleetShell or already handled by the reducer.
            }
        }
    }

    private void received(ControlMessage message, ControlHandler.Replier replier) {
        if (!distribution.serve(message, replier)) {
            keys.received(message, replier);
        }
    }

    /** Returns the control address of a node, which may be this one. */
    private Optional<Endpoint> controlAddress(NodeId id) {
        return control.get().snapshot().controlAddress(id);
    }

    /**
     * Returns the client for the owners of key ranges, for the proxy.
     *
     * @return the shell that exchanges messages with the key owners
     */
    KeyShell keys() {
        return keys;
    }

    private void applyToAdmission(Snapshot snapshot) {
        Map<String, ServicePolicy> policies =
                snapshot.active().map(active -> active.preset().services()).orElse(Map.of());
        admission.apply(snapshot.self().targets(), policies, System.nanoTime());
        health.updateHostedTargets(snapshot.self().targets());
    }

    private void logActivation(ActivePreset active) {
        metrics.activation(active.number());
        EventLog.info("preset_in_force")
                .with("activation", active.number())
                .with("preset", active.preset().name())
                .write();
    }
}
