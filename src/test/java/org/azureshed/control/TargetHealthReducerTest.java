package org.azureshed.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.azureshed.ejection.ClassDigest;
import org.azureshed.ejection.EjectionEffect;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionRecord;
import org.azureshed.ejection.EjectionReducer;
import org.azureshed.ejection.EjectionState;
import org.azureshed.ejection.TargetDigest;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.Preset;
import org.azureshed.model.ServicePolicy;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against ejection missing a change because only changed services are evaluated. */
class TargetHealthReducerTest {
    private static final int NODES = 10;
    private static final int SERVICES = 4;
    private static final int SECONDS = 600;

    private final ControlReducer reducer = new ControlReducer();
    private final EjectionReducer reference = new EjectionReducer();
    private final Map<String, Long> versions = new HashMap<>();
    private ControlState state = ControlState.initial(node(0, 1, 7));
    private EjectionState expected = EjectionState.initial(state.self().id());
    private final Set<EjectionEffect> effects = new HashSet<>();
    private final Set<EjectionEffect> expectedEffects = new HashSet<>();
    private final Set<Class<?>> kinds = new HashSet<>();
    private final List<EjectionEvent> pendingReplies = new ArrayList<>();

    /** The reference reducer receives and evaluates every service before every tick. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void changedServicesGiveTheSameResultAsAllServices(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 1; i < NODES; i++) {
            submit(new ControlEvent.NodesListed(List.of(node(i, 1, 7))));
        }
        submit(new ControlEvent.PresetReceived(preset(1)));
        for (int second = 1; second < SECONDS; second++) {
            effects.clear();
            expectedEffects.clear();
            if (second % 200 == 0) {
                submit(new ControlEvent.PresetReceived(preset(1 + second)));
            }
            if (random.nextInt(8) == 0) {
                changeNode(random, second);
            }
            for (int i = 0; i < NODES; i++) {
                // Some digests come from targets that are no longer announced.
                digest(random, 1_000L * second, "service-" + random.nextInt(SERVICES), i);
            }
            if (random.nextInt(60) == 0) {
                TargetId target = target("service-0", random.nextInt(NODES + 1));
                submitAndExpect(new EjectionEvent.CrashLoopFound("service-0", target, 3));
            }
            List<EjectionEvent> arrived = new ArrayList<>(pendingReplies);
            pendingReplies.clear();
            arrived.forEach(this::submitAndExpect);
            tick(new EjectionEvent.Tick(1_000L * second, random.nextLong()));
            assertEquals(expected.services(), state.health().ejection().services());
            assertEquals(expectedEffects, effects);
        }
        assertTrue(kinds.contains(EjectionEffect.RecordChanged.class), "nothing was ejected");
    }

    /** A preset whose floor differs with its number. */
    private static ActivePreset preset(int number) {
        Map<String, ServicePolicy> services = new HashMap<>();
        for (int i = 0; i < SERVICES; i++) {
            String service = "service-" + i;
            services.put(service, new ServicePolicy(service, 30 + number % 50, 50, 10));
        }
        return new ActivePreset(
                number,
                new Preset(
                        "p",
                        "test",
                        "always",
                        "none",
                        "X-Organisation",
                        services,
                        Map.of(),
                        List.of(),
                        Map.of(),
                        new OrganisationLimit(10, 5)));
    }

    private void changeNode(SplittableRandom random, int version) {
        int index = 1 + random.nextInt(NODES - 1);
        submit(new ControlEvent.NodeSeen(node(index, version, random.nextInt(1 << SERVICES))));
    }

    /** A node with one target for each service whose bit is set in the mask. */
    private static NodeInfo node(int index, int version, int mask) {
        List<TargetInfo> targets = new ArrayList<>();
        for (int i = 0; i < SERVICES; i++) {
            if ((mask & 1 << i) != 0) {
                targets.add(
                        new TargetInfo(
                                target("service-" + i, index),
                                "service-" + i,
                                new Endpoint("127.0.0.1", 8_100 + i),
                                4,
                                version % 5 == 4 ? TargetState.DRAINING : TargetState.READY));
            }
        }
        Endpoint port = new Endpoint("127.0.0.1", 8_000);
        NodeId id = new NodeId("node-" + index);
        return new NodeInfo(id, "r", "z", port, port, port, version, 1, false, targets);
    }

    private static TargetId target(String service, int index) {
        return new TargetId(service + "." + index);
    }

    private void digest(SplittableRandom random, long now, String service, int index) {
        long median = index == 3 ? 400_000 : 40_000 + random.nextInt(10_000);
        ClassDigest page =
                new ClassDigest("page", 40, 0, 40, median, 2 * median, 4 * median, 1_000);
        TargetDigest digest = new TargetDigest(now, List.of(page));
        submitAndExpect(new EjectionEvent.DigestReceived(service, target(service, index), digest));
    }

    private void submitAndExpect(EjectionEvent event) {
        submit(new ControlEvent.Ejection(event));
        expect(event);
    }

    private void tick(EjectionEvent.Tick tick) {
        for (String service : expected.services().keySet()) {
            expect(
                    new EjectionEvent.ServiceUpdated(
                            service,
                            TargetHealth.floorPercent(service, state.active()),
                            NODES,
                            TargetHealth.views(state.snapshot().candidatesOf(service))));
        }
        submitAndExpect(tick);
    }

    private void expect(EjectionEvent event) {
        var step = reference.reduce(expected, event);
        expected = step.state();
        expectedEffects.addAll(step.effects());
    }

    private void submit(ControlEvent event) {
        Step<ControlState, Effect> step = reducer.reduce(state, event);
        state = step.state();
        for (Effect effect : step.effects()) {
            if (effect instanceof Effect.Ejection(EjectionEffect inner)) {
                effects.add(inner);
                kinds.add(inner.getClass());
                addReply(inner);
            }
        }
    }

    private void addReply(EjectionEffect effect) {
        if (effect instanceof EjectionEffect.ReadRecord(String service)) {
            pendingReplies.add(
                    new EjectionEvent.RecordRead(
                            state.health().ejection().recordOf(service),
                            versions.getOrDefault(service, 0L),
                            1));
        } else if (effect instanceof EjectionEffect.WriteRecord(EjectionRecord record, long old)) {
            versions.put(record.service(), old + 1);
            pendingReplies.add(new EjectionEvent.WriteSucceeded(record, old + 1));
        } else if (effect instanceof EjectionEffect.Probe(String service, TargetId target)) {
            pendingReplies.add(new EjectionEvent.ProbeFinished(service, target, true));
        }
    }
}
