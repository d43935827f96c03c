package org.azureshed.bench;

import java.util.function.ToLongFunction;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;

/** A compared combination of load balancing at entry nodes and admission at hosts. */
enum LoadPolicy {
    /** The target picker, with admission. */
    AZURESHED,
    /** Targets in turn, without admission. */
    ROUND_ROBIN,
    /** The target with the fewest outstanding requests, without admission. */
    LEAST_OUTSTANDING;

    LoadBalancer newLoadBalancer(NodeInfo self, LoadScenario scenario, int entryNode) {
        return switch (this) {
            case AZURESHED ->
                    new TargetPickerBalancer(
                            self, scenario.entryNodeCount(), scenario.seed() * 31 + entryNode);
            case ROUND_ROBIN -> new RoundRobin(entryNode);
            case LEAST_OUTSTANDING -> new LeastOutstanding(entryNode);
        };
    }

    SimulatedHost newHost(
            VirtualTimeScheduler scheduler,
            TargetInfo target,
            LoadScenario scenario,
            ToLongFunction<SimulatedRequest> serviceNanos) {
        return this == AZURESHED
                ? new AdmissionHost(scheduler, target, scenario.policy(), serviceNanos)
                : new FifoHost(scheduler, target.slots(), serviceNanos);
    }

    /** The name in printed lines. */
    String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
