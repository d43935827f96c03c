package org.azureshed.control;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.azureshed.golden.GoldenFile;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.Preset;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;
import org.azureshed.preset.PresetCodec;
import org.azureshed.routing.Candidate;
import org.junit.jupiter.api.Test;

/** Guards against unintended changes in the effects of one node from start to stop. */
class ControlSessionTest {
    private static final NodeInfo SELF = node("self", 100, 1, List.of());

    private final ControlReducer reducer = new ControlReducer();
    private final StringBuilder text = new StringBuilder();
    private ControlState state = ControlState.initial(SELF);

    @Test
    void lifeOfOneNode() throws Exception {
        NodeInfo peer = node("peer", 200, 5, List.of(target("p1", TargetState.READY)));
        NodeInfo olderPeer = node("peer", 200, 4, List.of(target("p1", TargetState.STARTING)));
        send("start", new ControlEvent.Tick(1_000));
        send("t1 announced starting", announced("t1", TargetState.STARTING));
        send("t1 repeats its announcement", announced("t1", TargetState.STARTING));
        send("t1 announced ready", announced("t1", TargetState.READY));
        send("preset received, activation 2", preset(2));
        send("preset received, activation 1 (lower)", preset(1));
        send("preset received, activation 2 (again)", preset(2));
        send("node peer seen, sequence 5", new ControlEvent.NodeSeen(peer));
        send("node peer seen, sequence 4 (older)", new ControlEvent.NodeSeen(olderPeer));
        send(
                "nodes listed, peer with sequence 4",
                new ControlEvent.NodesListed(List.of(olderPeer)));
        send("nodes listed, none", new ControlEvent.NodesListed(List.of()));
        send("node peer deleted", new ControlEvent.NodeDeleted(new NodeId("peer")));
        send("t1 announced draining", announced("t1", TargetState.DRAINING));
        send("t1 withdrawn", new ControlEvent.TargetWithdrawn(new TargetId("t1")));
        send("stop", new ControlEvent.StopRequested());
        send("stop (again)", new ControlEvent.StopRequested());
        GoldenFile.check("control-session.txt", text.toString());
    }

    private void send(String label, ControlEvent event) {
        Step<ControlState, Effect> step = reducer.reduce(state, event);
        state = step.state();
        text.append(label).append('\n');
        step.effects().forEach(effect -> text.append("    ").append(show(effect)).append('\n'));
    }

    private static String show(Effect effect) {
        return switch (effect) {
            case Effect.PublishSelf(NodeInfo self) -> "write to platform: " + show(self);
            case Effect.PublishSnapshot(Snapshot snapshot) ->
                    "snapshot: nodes=%d activation=%s targets=%s"
                            .formatted(
                                    snapshot.nodeCount(),
                                    snapshot.active()
                                            .map(active -> "" + active.number())
                                            .orElse("none"),
                                    candidates(snapshot));
            case Effect.PresetInForce(ActivePreset active) ->
                    "in force: %s, activation %d"
                            .formatted(active.preset().name(), active.number());
            case Effect.Membership(var inner) -> "membership: " + inner.getClass().getSimpleName();
            case Effect.Distribution(var inner) ->
                    "distribution: " + inner.getClass().getSimpleName();
            case Effect.Keys(var inner) -> "keys: " + inner.getClass().getSimpleName();
            case Effect.Ejection(var inner) -> "ejection: " + inner.getClass().getSimpleName();
            case Effect.Poison(var inner) -> "poison: " + inner.getClass().getSimpleName();
        };
    }

    private static String candidates(Snapshot snapshot) {
        return new TreeMap<>(snapshot.candidates())
                .values().stream()
                        .flatMap(List::stream)
                        .map(ControlSessionTest::show)
                        .sorted()
                        .toList()
                        .toString();
    }

    private static String show(Candidate candidate) {
        return candidate.target().id() + "@" + candidate.node().id() + " " + state(candidate);
    }

    private static TargetState state(Candidate candidate) {
        return candidate.target().state();
    }

    private static String show(NodeInfo node) {
        return "%s incarnation=%d sequence=%d draining=%s targets=%s"
                .formatted(
                        node.id(),
                        node.incarnation(),
                        node.sequence(),
                        node.draining(),
                        node.targets().stream()
                                .map(target -> target.id() + " " + target.state())
                                .collect(Collectors.toList()));
    }

    private static ControlEvent announced(String id, TargetState targetState) {
        return new ControlEvent.TargetAnnounced(target(id, targetState));
    }

    private static ControlEvent preset(long number) throws Exception {
        byte[] json = Files.readAllBytes(Path.of("examples", "ordinary.json"));
        Preset preset = PresetCodec.decode("ordinary.json", json).get();
        return new ControlEvent.PresetReceived(new ActivePreset(number, preset));
    }

    private static TargetInfo target(String id, TargetState targetState) {
        return new TargetInfo(
                new TargetId(id), "reading", new Endpoint("10.0.0.1", 7000), 4, targetState);
    }

    private static NodeInfo node(
            String id, long incarnation, long sequence, List<TargetInfo> targets) {
        return new NodeInfo(
                new NodeId(id),
                "region-1",
                "zone-1",
                new Endpoint("10.0.0.1", 8080),
                new Endpoint("10.0.0.1", 8081),
                new Endpoint("10.0.0.1", 8082),
                incarnation,
                sequence,
                false,
                targets);
    }
}
