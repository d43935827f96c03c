package org.azureshed.control;

import java.util.ArrayList;
import java.util.List;
import org.azureshed.ejection.EjectionEffect;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionReducer;
import org.azureshed.model.TargetId;
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
        if (!(event instanceof PoisonEvent.SuspectsReceived)) {
            var changed = step.state().changedSince(state.health().poison());
            if (!changed.isEmpty()) {
                effects.add(new Effect.Poison(new PoisonEffect.GossipEntries(changed)));
            }
        }
        return new Step<>(next, effects);
    }

    /** Gives ejection the view of those services that it knows and whose view has changed. */
    private ControlState showServices(ControlState state) {
        if (state.health().shown().coversAll(state)) {
            return state;
        }
        int nodes = state.nodes().size() + 1;
        ControlState next = state;
        for (String service : state.health().ejection().services().keysIterator()) {
            ShownServices.View view =
                    new ShownServices.View(
                            state.candidates().byService().getOrDefault(service, List.of()),
                            TargetHealth.floorPercent(service, state.active()),
                            nodes);
            if (!state.health().shown().covers(service, view)) {
                next = show(next, service, view);
            }
        }
        return next.withHealth(next.health().withShown(next.health().shown().compared(next)));
    }

    private ControlState show(ControlState state, String service, ShownServices.View view) {
        EjectionEvent seen =
                new EjectionEvent.ServiceUpdated(
                        service,
                        view.floorPercent(),
                        view.nodes(),
                        TargetHealth.views(view.candidates()));
        TargetHealth health = reduce(state, seen, new ArrayList<>()).health();
        // Ejection forgets a service without targets once its record is empty too.
        return state.withHealth(
                view.candidates().isEmpty()
                        ? health
                        : health.withShown(health.shown().with(service, view)));
    }

    private ControlState reduce(ControlState state, EjectionEvent event, List<Effect> effects) {
        TargetHealth health = withoutOutdated(state.health(), event);
        var step = ejection.reduce(health.ejection(), event);
        for (EjectionEffect effect : step.effects()) {
            effects.add(new Effect.Ejection(effect));
        }
        return state.withHealth(health.withEjection(step.state()));
    }

    /** Has a service shown again if an event can bring it targets that its view lacks. */
    private static TargetHealth withoutOutdated(TargetHealth health, EjectionEvent event) {
        return switch (event) {
            case EjectionEvent.DigestReceived(String service, TargetId target, var digest) ->
                    health.ejection().announces(service, target)
                            ? health
                            : outdated(health, service);
            case EjectionEvent.RecordRead read -> outdated(health, read.record().service());
            case EjectionEvent.RecordReceived heard -> outdated(health, heard.record().service());
            case EjectionEvent.WriteSucceeded written ->
                    outdated(health, written.record().service());
            case EjectionEvent.CrashLoopFound found -> outdated(health, found.service());
            default -> health;
        };
    }

    private static TargetHealth outdated(TargetHealth health, String service) {
        return health.withShown(health.shown().without(service));
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
