package org.azureshed.control;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;
import org.azureshed.routing.Candidate;

/**
 * What ejection was shown of each service last, so that only changes are shown again.
 *
 * @param byService the views; a service that has to be shown again is absent
 * @param index the index when all services were compared last
 * @param preset the preset in force at that time; null without one
 */
record ShownServices(Map<String, View> byService, CandidateIndex index, ActivePreset preset) {
    /** The number of nodes only bounds a jitter, so that a small change of it does not matter. */
    private static final double NODES_TOLERANCE = 0.1;

    /**
     * One view.
     *
     * @param candidates the list of the index, which is another object after each change
     * @param floorPercent share of the announced slots that must serve
     * @param nodes number of nodes
     */
    record View(List<Candidate> candidates, int floorPercent, int nodes) {
        boolean covers(View next) {
            return candidates == next.candidates
                    && floorPercent == next.floorPercent
                    && Math.abs(nodes - next.nodes) <= NODES_TOLERANCE * nodes;
        }
    }

    static ShownServices none() {
        return new ShownServices(HashMap.empty(), CandidateIndex.empty(), null);
    }

    /** Whether no service can have changed, so that none has to be compared. */
    boolean coversAll(ControlState state) {
        return index == state.candidates()
                && preset == state.active().orElse(null)
                && byService.size() == state.health().ejection().services().size();
    }

    ShownServices compared(ControlState state) {
        return new ShownServices(byService, state.candidates(), state.active().orElse(null));
    }

    boolean covers(String service, View next) {
        return byService.get(service).exists(view -> view.covers(next));
    }

    ShownServices with(String service, View view) {
        return new ShownServices(byService.put(service, view), index, preset);
    }

    ShownServices without(String service) {
        return new ShownServices(byService.remove(service), index, preset);
    }
}
