package org.azureshed.control;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.ejection.EjectionEffect;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionReducer;
import org.azureshed.poison.PoisonEffect;
import org.azureshed.poison.PoisonEvent;
import org.azureshed.poison.PoisonReducer;

/** Passes events to ejection and poison and their results to each other. */
final class TargetHealthReducer {
    private final EjectionReducer ejection = new EjectionReducer();
    private final PoisonReducer poison = new PoisonReducer();

    Step<ControlState, Effect> ejection(ControlState state, EjectionEvent event) {
        List<Effect> effects = new ArrayList<>();
        ControlState next = state;
        if (event instanceof EjectionEvent.Tick) {
            next = showServices(next);
        }
        return publishIfChanged(reduce(next, event, effects), effects);
    }

    Step<ControlState, Effect> poison(ControlState state, PoisonEvent event) {
        var step = poison.reduce(state.health().poison(), event);
        ControlState next = state.withHealth(state.health().withPoison(step.state()));
        List<Effect> effects = new ArrayList<>();
        for (PoisonEffect effect : step.effects()) {
            if (effect instanceof PoisonEffect.CrashLoop(var service, var target, int crashes)) {
                next =
                        reduce(
                                next,
                                new EjectionEvent.CrashLoopFound(service, target, crashes),
                                effects);
            }
            effects.add(new Effect.Poison(effect));
        }
        // What gossip brought is forwarded by gossip itself.
        if (!(event instanceof PoisonEvent.SuspectsHeard)) {
            var changed = step.state().changedSince(state.health().poison());
            if (!changed.isEmpty()) {
                effects.add(new Effect.Poison(new PoisonEffect.Spread(changed)));
            }
        }
        return new Step<>(next, effects);
    }

    /** Gives ejection the present view of the services that it knows. */
    private ControlState showServices(ControlState state) {
        Snapshot snapshot = state.snapshot();
        ControlState next = state;
        for (String service : state.health().ejection().services().keySet()) {
            next =
                    reduce(
                            next,
                            new EjectionEvent.ServiceSeen(
                                    service,
                                    TargetHealth.floorPercent(service, state.active()),
                                    state.nodes().size() + 1,
                                    TargetHealth.views(snapshot.candidatesOf(service))),
                            new ArrayList<>());
        }
        return next;
    }

    private ControlState reduce(ControlState state, EjectionEvent event, List<Effect> effects) {
        var step = ejection.reduce(state.health().ejection(), event);
        for (EjectionEffect effect : step.effects()) {
            effects.add(new Effect.Ejection(effect));
        }
        return state.withHealth(state.health().withEjection(step.state()));
    }

    private static Step<ControlState, Effect> publishIfChanged(
            ControlState next, List<Effect> effects) {
        boolean recordChanged =
                effects.stream()
                        .anyMatch(
                                effect ->
                                        effect instanceof Effect.Ejection(EjectionEffect inner)
                                                && inner instanceof EjectionEffect.RecordChanged);
        if (recordChanged) {
            effects.add(0, new Effect.PublishSnapshot(next.snapshot()));
        }
        return new Step<>(next, effects);
    }
}
