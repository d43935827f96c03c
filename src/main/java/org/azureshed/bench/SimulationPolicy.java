package org.azureshed.bench;

import java.util.function.ToLongFunction;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;

/** What is compared: how targets are chosen, and whether hosts have admission. */
enum SimulationPolicy {
    AZURESHED,
    ROUND_ROBIN,
    LEAST_OUTSTANDING;

    Chooser chooser(NodeInfo self, Scenario scenario, int index) {
        return switch (this) {
            case AZURESHED ->
                    new PickerChooser(self, scenario.entries(), scenario.seed() * 31 + index);
            case ROUND_ROBIN -> new RoundRobin(index);
            case LEAST_OUTSTANDING -> new LeastOutstanding(index);
        };
    }

    SimulatedHost host(
            VirtualTime time,
            TargetInfo target,
            Scenario scenario,
            ToLongFunction<SimulatedRequest> serviceNanos) {
        return this == AZURESHED
                ? new AdmissionHost(time, target, scenario.policy(), serviceNanos)
                : new PlainHost(time, target.slots(), serviceNanos);
    }

    /** The name in printed lines. */
    String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
