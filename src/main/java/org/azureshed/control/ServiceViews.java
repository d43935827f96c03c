package org.azureshed.control;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;
import org.azureshed.routing.Candidate;

/**
 * The view of each service that was last passed to ejection; only changed views are passed again.
 *
 * @param byService last views by service; a service is absent if its view must be passed again
 * @param index candidate index at the last comparison of all services
 * @param preset preset in force at that comparison; null if there was none
 */
record ServiceViews(Map<String, View> byService, CandidateIndex index, ActivePreset preset) {
    /** Relative change that is ignored: the number of nodes only bounds a jitter. */
    private static final double NODES_TOLERANCE = 0.1;

    /**
     * The inputs of ejection for one service.
     *
     * @param candidates list of the candidate index; each change creates a new list object
     * @param floorPercent percentage of the announced slots that must stay in service
     * @param nodes number of nodes in the fleet
     */
    record View(List<Candidate> candidates, int floorPercent, int nodes) {
        boolean matches(View next) {
            return candidates == next.candidates
                    && floorPercent == next.floorPercent
                    && Math.abs(nodes - next.nodes) <= NODES_TOLERANCE * nodes;
        }
    }

    static ServiceViews none() {
        return new ServiceViews(HashMap.empty(), CandidateIndex.empty(), null);
    }

    /** Whether nothing changed since the last comparison, so that all services can be skipped. */
    boolean matchesAll(ControlState state) {
        return index == state.candidates()
                && preset == state.active().orElse(null)
                && byService.size() == state.health().ejection().services().size();
    }

    ServiceViews afterComparison(ControlState state) {
        return new ServiceViews(byService, state.candidates(), state.active().orElse(null));
    }

    boolean matches(String service, View next) {
        return byService.get(service).exists(view -> view.matches(next));
    }

    ServiceViews with(String service, View view) {
        return new ServiceViews(byService.put(service, view), index, preset);
    }

    ServiceViews without(String service) {
        return new ServiceViews(byService.remove(service), index, preset);
    }
}
