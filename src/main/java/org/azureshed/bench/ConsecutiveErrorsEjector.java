package org.azureshed.bench;

import java.util.HashMap;
import java.util.Map;
import org.azureshed.model.TargetId;

/**
 * Ejects a target after five consecutive errors, unless this would leave too few serving targets
 * for the floor. An ejection lasts 30 s times the number of the target's ejections so far.
 */
final class ConsecutiveErrorsEjector extends EjectionSimulation.Ejector {
    private static final int EJECTION_THRESHOLD_ERRORS = 5;
    private static final long BASE_EJECTION_MICROS = 30_000_000;

    private final EjectionSimulation simulation;
    private final Map<TargetId, Integer> consecutiveErrors = new HashMap<>();
    private final Map<TargetId, Integer> ejectionCounts = new HashMap<>();
    private final Map<TargetId, Long> ejectedUntilMicros = new HashMap<>();

    ConsecutiveErrorsEjector(EjectionSimulation simulation) {
        this.simulation = simulation;
    }

    @Override
    int weightPercent(TargetId target) {
        return ejectedUntilMicros.getOrDefault(target, 0L) > simulation.nowMicros() ? 0 : 100;
    }

    @Override
    void requestEnded(TargetId target, boolean error) {
        int errors = error ? consecutiveErrors.getOrDefault(target, 0) + 1 : 0;
        consecutiveErrors.put(target, errors);
        if (errors < EJECTION_THRESHOLD_ERRORS
                || weightPercent(target) == 0
                || !floorAllowsAnotherEjection()) {
            return;
        }
        consecutiveErrors.put(target, 0);
        int count = ejectionCounts.merge(target, 1, Integer::sum);
        ejectedUntilMicros.put(target, simulation.nowMicros() + count * BASE_EJECTION_MICROS);
        simulation.recordEjection(target);
    }

    private boolean floorAllowsAnotherEjection() {
        int count = simulation.targets().size();
        long servingTargets =
                simulation.targets().stream()
                        .filter(target -> !target.starting && weightPercent(target.id) == 100)
                        .count();
        return (servingTargets - 1) * 100 >= (long) count * EjectionSimulation.FLOOR_PERCENT;
    }
}
