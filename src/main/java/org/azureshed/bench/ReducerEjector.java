package org.azureshed.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.azureshed.ejection.DetectorTuning;
import org.azureshed.ejection.EjectedTarget;
import org.azureshed.ejection.EjectionEffect;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionRecord;
import org.azureshed.ejection.EjectionReducer;
import org.azureshed.ejection.EjectionState;
import org.azureshed.ejection.FloorCheck;
import org.azureshed.ejection.HostMeter;
import org.azureshed.ejection.Stage;
import org.azureshed.ejection.TargetDigest;
import org.azureshed.ejection.TargetView;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * Ejects targets with {@link EjectionReducer}. Each node has a state of its own and hosts a share
 * of the targets; the nodes read and write one record in a simulated store of the platform. All
 * requests are routed by the record that node 0 enforces.
 */
final class ReducerEjector extends EjectionSimulation.Ejector {
    private static final int NODES = SimulatedRouting.NODES;

    /**
     * Shortest time between two digests of a busy target that a node accepts, as in the proxy's
     * {@code DigestFeed}.
     */
    private static final long MIN_DIGEST_INTERVAL_MICROS = 1_000_000;

    /** Duration of one call to the platform. */
    private static final long PLATFORM_CALL_MICROS = 5_000;

    private static final long PROBE_DURATION_MICROS = 25_000;

    private final EjectionSimulation simulation;
    private final HostMeter meter;
    private final EjectionReducer reducer;
    private final List<EjectionState> nodeStates = new ArrayList<>();
    private final List<Map<TargetId, Long>> lastDigestMicros = new ArrayList<>();
    private EjectionRecord storedRecord = EjectionRecord.empty(EjectionSimulation.SERVICE);
    private EjectionRecord enforcedRecord = storedRecord;
    private long storedVersion;

    ReducerEjector(EjectionSimulation simulation, HostMeter meter, DetectorTuning tuning) {
        this.simulation = simulation;
        this.meter = meter;
        this.reducer = new EjectionReducer(tuning);
        for (int node = 0; node < NODES; node++) {
            nodeStates.add(EjectionState.initial(SimulatedRouting.nodeId(node)));
            lastDigestMicros.add(new HashMap<>());
        }
    }

    @Override
    int weightPercent(TargetId target) {
        return enforcedRecord.percentOf(target);
    }

    @Override
    void tick() {
        long nowMillis = simulation.nowMicros() / 1_000;
        List<TargetView> targetViews = targetViews();
        for (int node = 0; node < NODES; node++) {
            applyEvent(
                    node,
                    new EjectionEvent.ServiceUpdated(
                            EjectionSimulation.SERVICE,
                            EjectionSimulation.FLOOR_PERCENT,
                            NODES,
                            targetViews));
            applyEvent(node, new EjectionEvent.RecordReceived(storedRecord, storedVersion));
        }
        for (int node = 0; node < NODES; node++) {
            applyEvent(node, new EjectionEvent.Tick(nowMillis, simulation.randomSeed()));
        }
        enforcedRecord = nodeStates.get(0).enforcedRecordOf(EjectionSimulation.SERVICE);
    }

    @Override
    void answerReceived(int entryNode, TargetId target) {
        long nowMicros = simulation.nowMicros();
        meter.digest(target, nowMicros)
                .ifPresent(digest -> receiveDigest(entryNode, target, digest));
    }

    private void receiveDigest(int entryNode, TargetId target, TargetDigest digest) {
        long nowMicros = simulation.nowMicros();
        Long lastMicros = lastDigestMicros.get(entryNode).get(target);
        if (!digest.sparse()) {
            if (lastMicros != null && nowMicros - lastMicros < MIN_DIGEST_INTERVAL_MICROS) {
                return;
            }
            lastDigestMicros.get(entryNode).put(target, nowMicros);
        }
        applyEvent(
                entryNode,
                new EjectionEvent.DigestReceived(EjectionSimulation.SERVICE, target, digest));
    }

    private List<TargetView> targetViews() {
        List<TargetView> targetViews = new ArrayList<>();
        for (int i = 0; i < simulation.targets().size(); i++) {
            EjectionSimulation.SimulatedTarget target = simulation.targets().get(i);
            NodeId node = SimulatedRouting.nodeId(i % NODES);
            targetViews.add(new TargetView(target.id, node, target.slots, !target.starting));
        }
        return targetViews;
    }

    private void applyEvent(int node, EjectionEvent event) {
        var step = reducer.reduce(nodeStates.get(node), event);
        nodeStates.set(node, step.state());
        for (EjectionEffect effect : step.effects()) {
            execute(node, effect);
        }
    }

    private void execute(int node, EjectionEffect effect) {
        switch (effect) {
            case EjectionEffect.ReadRecord read ->
                    simulation.schedule(
                            PLATFORM_CALL_MICROS,
                            () ->
                                    applyEvent(
                                            node,
                                            new EjectionEvent.RecordRead(
                                                    storedRecord, storedVersion, 0)));
            case EjectionEffect.WriteRecord write ->
                    simulation.schedule(PLATFORM_CALL_MICROS, () -> write(node, write));
            // With a gray failure the health endpoint still works, so every probe succeeds.
            case EjectionEffect.Probe(String service, TargetId target) ->
                    simulation.schedule(
                            PROBE_DURATION_MICROS,
                            () ->
                                    applyEvent(
                                            node,
                                            new EjectionEvent.ProbeFinished(
                                                    service, target, true)));
            case EjectionEffect.RecordChanged changed ->
                    enforcedRecord = nodeStates.get(0).enforcedRecordOf(EjectionSimulation.SERVICE);
        }
    }

    /** Executes a conditional write and counts new ejections and violations of the floor. */
    private void write(int node, EjectionEffect.WriteRecord write) {
        if (write.expectedVersion() != storedVersion) {
            applyEvent(node, new EjectionEvent.WriteConflicted(EjectionSimulation.SERVICE));
            return;
        }
        for (EjectedTarget entry : write.record().targets()) {
            boolean alreadyEjected =
                    storedRecord
                            .find(entry.target())
                            .filter(previous -> previous.stage() == Stage.EJECTED)
                            .isPresent();
            if (entry.stage() == Stage.EJECTED && !alreadyEjected) {
                simulation.recordEjection(entry.target());
            }
        }
        storedRecord = write.record();
        storedVersion++;
        if (!new FloorCheck(targetViews(), EjectionSimulation.FLOOR_PERCENT).holds(storedRecord)) {
            simulation.result().floorViolations++;
        }
        applyEvent(node, new EjectionEvent.WriteSucceeded(storedRecord, storedVersion));
    }
}
