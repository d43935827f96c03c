package org.azureshed.bench;

import java.util.HashMap;
import java.util.Map;
import org.azureshed.model.TargetId;

/**
 * Ejects a target after five errors in a row for 30 s times the number of its ejections, and never
 * below the floor.
 */
final class ConsecutiveErrorsEjector extends FleetSimulation.Ejector {
    private static final int ERRORS = 5;
    private static final long BASE_MICROS = 30_000_000;

    private final FleetSimulation simulation;
    private final Map<TargetId, Integer> inARow = new HashMap<>();
    private final Map<TargetId, Integer> ejections = new HashMap<>();
    private final Map<TargetId, Long> until = new HashMap<>();

    ConsecutiveErrorsEjector(FleetSimulation simulation) {
        this.simulation = simulation;
    }

    @Override
    int percent(TargetId target) {
        return until.getOrDefault(target, 0L) > simulation.nowMicros() ? 0 : 100;
    }

    @Override
    void ended(TargetId target, boolean error) {
        int errors = error ? inARow.getOrDefault(target, 0) + 1 : 0;
        inARow.put(target, errors);
        if (errors < ERRORS || percent(target) == 0 || !floorAllowsOneMore()) {
            return;
        }
        inARow.put(target, 0);
        int count = ejections.merge(target, 1, Integer::sum);
        until.put(target, simulation.nowMicros() + count * BASE_MICROS);
        simulation.ejected(target);
    }

    private boolean floorAllowsOneMore() {
        int count = simulation.targets().size();
        long serving =
                simulation.targets().stream()
                        .filter(target -> !target.starting && percent(target.id) == 100)
                        .count();
        return (serving - 1) * 100 >= (long) count * FleetSimulation.FLOOR_PERCENT;
    }
}
