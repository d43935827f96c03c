package org.azureshed.control;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.poison.PoisonEvent;

/**
 * Computes the next control state and the effects of one event. It reads no clock and does no input
 * or output.
 */
public final class ControlReducer {
    private final FleetReducer fleet;
    private final KeyRangeReducer keys = new KeyRangeReducer();
    private final TargetHealthReducer health = new TargetHealthReducer();

    /** Creates a reducer without seeds; it discovers other nodes from the platform first. */
    public ControlReducer() {
        this(List.of());
    }

    /**
     * Creates a reducer.
     *
     * @param seeds control addresses to gossip with while no other node is known, and occasionally
     *     afterwards
     */
    public ControlReducer(List<Endpoint> seeds) {
        this.fleet = new FleetReducer(seeds);
    }

    /**
     * Reduces one event.
     *
     * @param state the state before the event
     * @param event the event
     * @return the state after the event and the effects to carry out
     */
    public Step<ControlState, Effect> reduce(ControlState state, ControlEvent event) {
        return keys.reduceNested(event, fleet.reduceNested(state, event, reduceOwn(state, event)));
    }

    private Step<ControlState, Effect> reduceOwn(ControlState state, ControlEvent event) {
        return switch (event) {
            case ControlEvent.Tick(long now) -> expire(state.withNow(now));
            case ControlEvent.TargetAnnounced(TargetInfo target) ->
                    announce(
                            state.withAnnouncements(
                                    state.announcements()
                                            .announced(target.id(), state.nowMillis())),
                            target);
            case ControlEvent.TargetWithdrawn(TargetId id) -> withdraw(state, id);
            case ControlEvent.NodesListed(var nodes) -> listed(state, nodes);
            case ControlEvent.NodeSeen(NodeInfo node) -> seen(state, node);
            case ControlEvent.NodeDeleted(NodeId id) -> deleted(state, id);
            case ControlEvent.PresetReceived(ActivePreset active) -> activate(state, active);
            case ControlEvent.StopRequested() -> stop(state);
            case ControlEvent.Ejection(EjectionEvent inner) -> health.ejection(state, inner);
            case ControlEvent.Poison(PoisonEvent inner) -> health.poison(state, inner);
            case ControlEvent.Membership ignored -> Step.of(state);
            case ControlEvent.Distribution ignored -> Step.of(state);
            case ControlEvent.Keys ignored -> Step.of(state);
        };
    }

    private static Step<ControlState, Effect> announce(ControlState state, TargetInfo target) {
        if (state.self().targets().contains(target)) {
            return Step.of(state);
        }
        List<TargetInfo> targets = without(state.self().targets(), target.id());
        targets.add(target);
        return changeTargets(state, targets);
    }

    private static Step<ControlState, Effect> withdraw(ControlState state, TargetId id) {
        return changeTargets(
                state.withAnnouncements(state.announcements().withdrawn(id)),
                without(state.self().targets(), id));
    }

    /** Removes targets whose announcement has expired. */
    private static Step<ControlState, Effect> expire(ControlState state) {
        List<TargetId> expired = state.announcements().expired(state.nowMillis());
        if (expired.isEmpty()) {
            return Step.of(state);
        }
        Announcements announcements = state.announcements();
        List<TargetInfo> targets = new ArrayList<>(state.self().targets());
        for (TargetId id : expired) {
            announcements = announcements.withdrawn(id);
            targets.removeIf(target -> target.id().equals(id));
        }
        return changeTargets(state.withAnnouncements(announcements), targets);
    }

    private static List<TargetInfo> without(List<TargetInfo> targets, TargetId id) {
        List<TargetInfo> rest = new ArrayList<>(targets);
        rest.removeIf(target -> target.id().equals(id));
        return rest;
    }

    private static Step<ControlState, Effect> changeTargets(
            ControlState state, List<TargetInfo> targets) {
        if (targets.equals(state.self().targets())) {
            return Step.of(state);
        }
        return changeSelf(state, state.self().withTargets(targets));
    }

    private static Step<ControlState, Effect> changeSelf(ControlState state, NodeInfo self) {
        ControlState next = state.withSelf(self);
        return new Step<>(
                next,
                List.of(new Effect.PublishSnapshot(next.snapshot()), new Effect.PublishSelf(self)));
    }

    /**
     * Keeps nodes that are missing from the listing: the platform may have been restored from an
     * older copy, and gossip determines which nodes are gone.
     */
    private static Step<ControlState, Effect> listed(ControlState state, List<NodeInfo> nodes) {
        List<NodeInfo> updated = new ArrayList<>();
        for (NodeInfo node : nodes) {
            boolean stale = state.nodes().get(node.id()).exists(known -> known.supersedes(node));
            if (!node.id().equals(state.self().id()) && !stale) {
                updated.add(node);
            }
        }
        return publish(state.withNodes(updated, List.of()));
    }

    private static Step<ControlState, Effect> seen(ControlState state, NodeInfo node) {
        boolean own = node.id().equals(state.self().id());
        boolean stale = state.nodes().get(node.id()).exists(known -> !node.supersedes(known));
        if (own || stale) {
            return Step.of(state);
        }
        return publish(state.withNodes(List.of(node), List.of()));
    }

    private static Step<ControlState, Effect> deleted(ControlState state, NodeId id) {
        if (!state.nodes().containsKey(id)) {
            return Step.of(state);
        }
        return publish(state.withNodes(List.of(), List.of(id)));
    }

    private static Step<ControlState, Effect> activate(ControlState state, ActivePreset active) {
        long current = state.active().map(ActivePreset::number).orElse(0L);
        if (active.number() <= current) {
            return Step.of(state);
        }
        ControlState next = state.withActive(active);
        return new Step<>(
                next,
                List.of(
                        new Effect.PublishSnapshot(next.snapshot()),
                        new Effect.PresetInForce(active)));
    }

    private static Step<ControlState, Effect> stop(ControlState state) {
        if (state.self().draining()) {
            return Step.of(state);
        }
        return changeSelf(state, state.self().asDraining());
    }

    private static Step<ControlState, Effect> publish(ControlState next) {
        return new Step<>(next, List.of(new Effect.PublishSnapshot(next.snapshot())));
    }
}
