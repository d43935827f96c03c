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

/** Passes events to the ejection and poison reducers and exchanges their results. */
final class TargetHealthReducer {
    private final EjectionReducer ejection = new EjectionReducer();
    private final PoisonReducer poison = new PoisonReducer();

    Step<ControlState, Effect> ejection(ControlState state, EjectionEvent event) {
        List<Effect> effects = new ArrayList<>();
        ControlState next = state;
        if (event instanceof EjectionEvent.Tick) {
            next = updateServiceViews(next);
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
        // Membership already forwards suspects that arrived by gossip.
        if (!(event instanceof PoisonEvent.SuspectsReceived)) {
            var changed = step.state().changedSince(state.health().poison());
            if (!changed.isEmpty()) {
                effects.add(new Effect.Poison(new PoisonEffect.GossipEntries(changed)));
            }
        }
        return new Step<>(next, effects);
    }

    /** Passes the changed views of all services known to ejection to the ejection reducer. */
    private ControlState updateServiceViews(ControlState state) {
        if (state.health().serviceViews().matchesAll(state)) {
            return state;
        }
        int nodes = state.nodes().size() + 1;
        ControlState next = state;
        for (String service : state.health().ejection().services().keysIterator()) {
            ServiceViews.View view =
                    new ServiceViews.View(
                            state.candidates().byService().getOrDefault(service, List.of()),
                            TargetHealth.floorPercent(service, state.active()),
                            nodes);
            if (!state.health().serviceViews().matches(service, view)) {
                next = updateServiceView(next, service, view);
            }
        }
        return next.withHealth(
                next.health().withServiceViews(next.health().serviceViews().afterComparison(next)));
    }

    private ControlState updateServiceView(
            ControlState state, String service, ServiceViews.View view) {
        EjectionEvent updated =
                new EjectionEvent.ServiceUpdated(
                        service,
                        view.floorPercent(),
                        view.nodes(),
                        TargetHealth.views(view.candidates()));
        TargetHealth health = reduce(state, updated, new ArrayList<>()).health();
        // Ejection removes a service that has neither targets nor a record, so its view is not
        // kept.
        return state.withHealth(
                view.candidates().isEmpty()
                        ? health
                        : health.withServiceViews(health.serviceViews().with(service, view)));
    }

    private ControlState reduce(ControlState state, EjectionEvent event, List<Effect> effects) {
        TargetHealth health = invalidateOutdatedView(state.health(), event);
        var step = ejection.reduce(health.ejection(), event);
        for (EjectionEffect effect : step.effects()) {
            effects.add(new Effect.Ejection(effect));
        }
        return state.withHealth(health.withEjection(step.state()));
    }

    /** Drops the stored view of a service if an event may add targets that the view lacks. */
    private static TargetHealth invalidateOutdatedView(TargetHealth health, EjectionEvent event) {
        return switch (event) {
            case EjectionEvent.DigestReceived(String service, TargetId target, var digest) ->
                    health.ejection().announces(service, target)
                            ? health
                            : invalidateView(health, service);
            case EjectionEvent.RecordRead read -> invalidateView(health, read.record().service());
            case EjectionEvent.RecordReceived received ->
                    invalidateView(health, received.record().service());
            case EjectionEvent.WriteSucceeded written ->
                    invalidateView(health, written.record().service());
            case EjectionEvent.CrashLoopFound found -> invalidateView(health, found.service());
            default -> health;
        };
    }

    private static TargetHealth invalidateView(TargetHealth health, String service) {
        return health.withServiceViews(health.serviceViews().without(service));
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
