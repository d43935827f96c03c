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

/** Three nodes with the real reducer, each of which hosts a third of the targets. */
final class AgreedEjector extends FleetSimulation.Ejector {
    private static final int NODES = SimulatedRouting.NODES;

    /** Shortest time between two digests of a target that a node takes in, as in {@code proxy}. */
    private static final long DIGEST_MICROS = 1_000_000;

    /** Time of one call to the platform. */
    private static final long CALL_MICROS = 5_000;

    private static final long PROBE_MICROS = 25_000;

    private final FleetSimulation simulation;
    private final HostMeter meter;
    private final EjectionReducer reducer;
    private final List<EjectionState> nodes = new ArrayList<>();
    private final List<Map<TargetId, Long>> digestMicros = new ArrayList<>();
    private EjectionRecord stored = EjectionRecord.empty(FleetSimulation.SERVICE);
    private EjectionRecord inForce = stored;
    private long version;

    AgreedEjector(FleetSimulation simulation, HostMeter meter, DetectorTuning tuning) {
        this.simulation = simulation;
        this.meter = meter;
        this.reducer = new EjectionReducer(tuning);
        for (int node = 0; node < NODES; node++) {
            nodes.add(EjectionState.initial(SimulatedRouting.nodeId(node)));
            digestMicros.add(new HashMap<>());
        }
    }

    @Override
    int percent(TargetId target) {
        return inForce.percentOf(target);
    }

    @Override
    void tick() {
        long nowMillis = simulation.nowMicros() / 1_000;
        List<TargetView> views = views();
        for (int node = 0; node < NODES; node++) {
            reduce(
                    node,
                    new EjectionEvent.ServiceUpdated(
                            FleetSimulation.SERVICE, FleetSimulation.FLOOR_PERCENT, NODES, views));
            reduce(node, new EjectionEvent.RecordReceived(stored, version));
        }
        for (int node = 0; node < NODES; node++) {
            reduce(node, new EjectionEvent.Tick(nowMillis, simulation.randomSeed()));
        }
        inForce = nodes.get(0).enforcedRecordOf(FleetSimulation.SERVICE);
    }

    @Override
    void answered(int entryNode, TargetId target) {
        long now = simulation.nowMicros();
        meter.digest(target, now).ifPresent(digest -> arrived(entryNode, target, digest));
    }

    private void arrived(int entryNode, TargetId target, TargetDigest digest) {
        long now = simulation.nowMicros();
        Long last = digestMicros.get(entryNode).get(target);
        if (!digest.sparse()) {
            if (last != null && now - last < DIGEST_MICROS) {
                return;
            }
            digestMicros.get(entryNode).put(target, now);
        }
        reduce(
                entryNode,
                new EjectionEvent.DigestReceived(FleetSimulation.SERVICE, target, digest));
    }

    private List<TargetView> views() {
        List<TargetView> views = new ArrayList<>();
        for (int i = 0; i < simulation.targets().size(); i++) {
            FleetSimulation.Target target = simulation.targets().get(i);
            NodeId node = SimulatedRouting.nodeId(i % NODES);
            views.add(new TargetView(target.id, node, target.slots, !target.starting));
        }
        return views;
    }

    private void reduce(int node, EjectionEvent event) {
        var step = reducer.reduce(nodes.get(node), event);
        nodes.set(node, step.state());
        for (EjectionEffect effect : step.effects()) {
            carryOut(node, effect);
        }
    }

    private void carryOut(int node, EjectionEffect effect) {
        switch (effect) {
            case EjectionEffect.ReadRecord read ->
                    simulation.schedule(
                            CALL_MICROS,
                            () -> reduce(node, new EjectionEvent.RecordRead(stored, version, 0)));
            case EjectionEffect.WriteRecord write ->
                    simulation.schedule(CALL_MICROS, () -> write(node, write));
            // The health endpoint of a gray target misleads: every probe succeeds.
            case EjectionEffect.Probe(String service, TargetId target) ->
                    simulation.schedule(
                            PROBE_MICROS,
                            () ->
                                    reduce(
                                            node,
                                            new EjectionEvent.ProbeFinished(
                                                    service, target, true)));
            case EjectionEffect.RecordChanged changed ->
                    inForce = nodes.get(0).enforcedRecordOf(FleetSimulation.SERVICE);
        }
    }

    private void write(int node, EjectionEffect.WriteRecord write) {
        if (write.expectedVersion() != version) {
            reduce(node, new EjectionEvent.WriteConflicted(FleetSimulation.SERVICE));
            return;
        }
        for (EjectedTarget entry : write.record().targets()) {
            boolean already =
                    stored.find(entry.target())
                            .filter(old -> old.stage() == Stage.EJECTED)
                            .isPresent();
            if (entry.stage() == Stage.EJECTED && !already) {
                simulation.ejected(entry.target());
            }
        }
        stored = write.record();
        version++;
        if (!new FloorCheck(views(), FleetSimulation.FLOOR_PERCENT).holds(stored)) {
            simulation.result().floorViolations++;
        }
        reduce(node, new EjectionEvent.WriteSucceeded(stored, version));
    }
}
