package org.azureshed.node;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Map;
import org.azureshed.admission.Admission;
import org.azureshed.control.ActivePreset;
import org.azureshed.control.Effect;
import org.azureshed.control.Snapshot;
import org.azureshed.model.ServicePolicy;
import org.azureshed.telemetry.EventLog;
import org.azureshed.telemetry.FleetMetrics;

/** Carries out the effects of the reducer and runs the node's background work. */
@Singleton
final class NodeShell {
    private final SelfPublisher publisher;
    private final NodeWatcher nodes;
    private final PresetWatcher presets;
    private final Admission admission;
    private final FleetMetrics metrics;

    @Inject
    NodeShell(
            SelfPublisher publisher,
            NodeWatcher nodes,
            PresetWatcher presets,
            Admission admission,
            FleetMetrics metrics) {
        this.presets = presets;
        this.admission = admission;
        this.publisher = publisher;
        this.nodes = nodes;
        this.metrics = metrics;
    }

    /** Starts the background threads. */
    void start() {
        Thread.ofVirtual().name("self-publisher").start(publisher::run);
        Thread.ofVirtual().name("node-watcher").start(nodes::run);
        Thread.ofVirtual().name("preset-watcher").start(presets::run);
    }

    /**
     * Carries out one effect. It runs on the control thread and does not block.
     *
     * @param effect the effect
     */
    void carryOut(Effect effect) {
        switch (effect) {
            case Effect.PublishSelf(var self) -> publisher.publish(self);
            case Effect.PresetInForce(ActivePreset active) -> logActivation(active);
            case Effect.PublishSnapshot(Snapshot snapshot) -> applyToAdmission(snapshot);
            case Effect.Membership(var membership) -> {
                // Carried out by FleetShell once the node starts a control transport.
            }
            case Effect.Distribution(var distribution) -> {
                // Carried out by FleetShell once the node starts a control transport.
            }
            case Effect.Keys(var keys) -> {
                // Carried out by KeyShell once the node starts a control transport.
            }
        }
    }

    private void applyToAdmission(Snapshot snapshot) {
        Map<String, ServicePolicy> policies =
                snapshot.active().map(active -> active.preset().services()).orElse(Map.of());
        admission.apply(snapshot.self().targets(), policies, System.nanoTime());
    }

    private void logActivation(ActivePreset active) {
        metrics.activation(active.number());
        EventLog.info("preset_in_force")
                .with("activation", active.number())
                .with("preset", active.preset().name())
                .with("reason", active.reason())
                .write();
    }
}
