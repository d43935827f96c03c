package org.azureshed.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.ejection.EjectedTarget;
import org.azureshed.ejection.EjectionRecord;
import org.azureshed.ejection.EjectionState;
import org.azureshed.ejection.FloorCheck;
import org.azureshed.ejection.TargetView;
import org.azureshed.model.NodeId;
import org.azureshed.model.ServicePolicy;
import org.azureshed.model.TargetId;
import org.azureshed.poison.PoisonState;
import org.azureshed.routing.Candidate;

/**
 * States of the reducers that eject unhealthy targets and block poison requests (requests that
 * crash targets).
 *
 * @param ejection state of the ejection reducer
 * @param poison state of the poison reducer
 * @param serviceViews the view of each service that was last passed to ejection
 */
public record TargetHealth(EjectionState ejection, PoisonState poison, ServiceViews serviceViews) {
    /**
     * Floor in percent if no preset is known or the preset lacks the service, so that no target is
     * ejected.
     */
    private static final int NO_EJECTION_FLOOR_PERCENT = 100;

    static TargetHealth initial(NodeId self) {
        return new TargetHealth(
                EjectionState.initial(self), PoisonState.initial(), ServiceViews.none());
    }

    TargetHealth withEjection(EjectionState next) {
        return new TargetHealth(next, poison, serviceViews);
    }

    TargetHealth withPoison(PoisonState next) {
        return new TargetHealth(ejection, next, serviceViews);
    }

    TargetHealth withServiceViews(ServiceViews next) {
        return new TargetHealth(ejection, poison, next);
    }

    /**
     * Returns weights in percent of ejected targets and of those in readmission, limited by the
     * floor that follows from the newest candidates.
     */
    Map<TargetId, Integer> weights(
            Map<String, List<Candidate>> candidates, Optional<ActivePreset> active) {
        Map<TargetId, Integer> weights = new HashMap<>();
        for (String service : ejection.services().keySet()) {
            EjectionRecord record = ejection.recordOf(service);
            if (record.targets().isEmpty()) {
                continue;
            }
            FloorCheck floor =
                    new FloorCheck(
                            views(candidates.getOrDefault(service, List.of())),
                            floorPercent(service, active));
            for (EjectedTarget entry : floor.enforce(record).targets()) {
                weights.put(entry.target(), entry.stage().percent());
            }
        }
        return Map.copyOf(weights);
    }

    static int floorPercent(String service, Optional<ActivePreset> active) {
        return active.map(preset -> preset.preset().services().get(service))
                .map(ServicePolicy::floorPercent)
                .orElse(NO_EJECTION_FLOOR_PERCENT);
    }

    static List<TargetView> views(List<Candidate> candidates) {
        // Two nodes may announce the same target for a short time while it moves.
        Map<TargetId, TargetView> views = new HashMap<>();
        for (Candidate candidate : candidates) {
            TargetId id = candidate.target().id();
            views.put(
                    id,
                    new TargetView(
                            id,
                            candidate.node().id(),
                            candidate.target().slots(),
                            candidate.ready()));
        }
        return new ArrayList<>(views.values());
    }
}
