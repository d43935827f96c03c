package org.azureshed.control;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.idempotency.KeyTiming;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.OwnerCandidate;
import org.azureshed.idempotency.OwnerEffect;
import org.azureshed.idempotency.OwnerEvent;
import org.azureshed.idempotency.OwnerReducer;
import org.azureshed.idempotency.OwnerState;
import org.azureshed.idempotency.RangePlacement;
import org.azureshed.model.NodeInfo;

/** Passes control events and the current placement to the reducer of idempotency key ranges. */
final class KeyRangeReducer {
    /**
     * Interval of placement. Placing 128 ranges on 2,400 nodes takes milliseconds, which is too
     * slow for each change of the view.
     */
    private static final long PLACEMENT_MILLIS = 5_000;

    private final OwnerReducer owner = new OwnerReducer(KeyTiming.STANDARD);

    /** Passes an event to the key range reducer after the rest of the state has reduced it. */
    Step<ControlState, Effect> reduceNested(ControlEvent event, Step<ControlState, Effect> step) {
        return switch (event) {
            case ControlEvent.Keys(OwnerEvent.Tick tick) ->
                    apply(updatePlacement(step, tick.nowMillis()), tick);
            case ControlEvent.Keys(OwnerEvent inner) -> apply(step, inner);
            case ControlEvent.StopRequested() ->
                    apply(step, new OwnerEvent.StopRequested(step.state().nowMillis()));
            default -> step;
        };
    }

    private Step<ControlState, Effect> updatePlacement(Step<ControlState, Effect> step, long now) {
        ControlState state = step.state();
        FleetState fleet = state.fleet();
        // A node that knows only itself would read or claim all ranges.
        if (now < fleet.placementDueMillis() || fleet.roundsBeforeRole() > 0) {
            return step;
        }
        ControlState next = state.withFleet(fleet.withPlacementDue(now + PLACEMENT_MILLIS));
        RangePlacement placement = new RangePlacement(candidates(state));
        return apply(new Step<>(next, step.effects()), new OwnerEvent.ViewChanged(placement, now));
    }

    private static List<OwnerCandidate> candidates(ControlState state) {
        List<OwnerCandidate> candidates = new ArrayList<>();
        if (!state.self().draining()) {
            candidates.add(candidate(state.self()));
        }
        for (NodeInfo node : state.nodes().values()) {
            if (!node.draining() && !state.fleet().membership().unreachable(node.id())) {
                candidates.add(candidate(node));
            }
        }
        return candidates;
    }

    private static OwnerCandidate candidate(NodeInfo node) {
        return new OwnerCandidate(
                new NodeInstance(node.id(), node.incarnation()), node.availabilityZone());
    }

    private Step<ControlState, Effect> apply(Step<ControlState, Effect> step, OwnerEvent event) {
        FleetState fleet = step.state().fleet();
        Step<OwnerState, OwnerEffect> inner = owner.reduce(fleet.keys(), event);
        List<Effect> effects = new ArrayList<>(step.effects());
        inner.effects().forEach(effect -> effects.add(new Effect.Keys(effect)));
        return new Step<>(step.state().withFleet(fleet.withKeys(inner.state())), effects);
    }
}
