package org.azureshed.ejection;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import java.util.Optional;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * State of the ejection reducer.
 *
 * @param self this node
 * @param nowMillis time of the last tick
 * @param backoffUntilMillis no call to the platform before this time, because it was unavailable
 * @param lastProbeMillis time of the last probe of any hosted target
 * @param services what is known of each service
 * @param active services that the next tick has to judge; nothing changes for the others
 */
public record EjectionState(
        NodeId self,
        long nowMillis,
        long backoffUntilMillis,
        long lastProbeMillis,
        Map<String, ServiceState> services,
        Set<String> active) {
    /**
     * State of a node that has just started.
     *
     * @param self the node
     * @return the state
     */
    public static EjectionState initial(NodeId self) {
        return new EjectionState(self, 0, 0, 0, HashMap.empty(), HashSet.empty());
    }

    /**
     * The agreed record of a service as far as this node knows it.
     *
     * @param service the service
     * @return the record; empty of targets if nothing is known
     */
    public EjectionRecord recordOf(String service) {
        return services.get(service)
                .map(ServiceState::record)
                .getOrElse(() -> EjectionRecord.empty(service));
    }

    /**
     * The record to route by: the agreed one without the entries that this node's own view of the
     * floor forbids.
     *
     * @param service the service
     * @return the record
     */
    public EjectionRecord enforcedRecordOf(String service) {
        Optional<ServiceState> known = services.get(service).toJavaOptional();
        return known.map(state -> state.floor().enforce(state.record()))
                .orElseGet(() -> EjectionRecord.empty(service));
    }

    /**
     * Whether the view of a service that was shown last has a target.
     *
     * @param service the service
     * @param target the target
     * @return false also for an unknown service
     */
    public boolean announces(String service, TargetId target) {
        return services.get(service).exists(known -> known.targets().containsKey(target));
    }

    ServiceState service(String service) {
        return services.getOrElse(service, ServiceState.initial(service));
    }

    EjectionState with(String service, ServiceState next) {
        return new EjectionState(
                self,
                nowMillis,
                backoffUntilMillis,
                lastProbeMillis,
                services.put(service, next),
                active.add(service));
    }

    EjectionState without(String service) {
        return new EjectionState(
                self,
                nowMillis,
                backoffUntilMillis,
                lastProbeMillis,
                services.remove(service),
                active.remove(service));
    }

    /** Leaves out a service until it changes. */
    EjectionState deactivate(String service) {
        return new EjectionState(
                self,
                nowMillis,
                backoffUntilMillis,
                lastProbeMillis,
                services,
                active.remove(service));
    }

    EjectionState advanceTo(long newNowMillis) {
        return new EjectionState(
                self, newNowMillis, backoffUntilMillis, lastProbeMillis, services, active);
    }

    EjectionState withBackoffUntil(long untilMillis) {
        return new EjectionState(self, nowMillis, untilMillis, lastProbeMillis, services, active);
    }

    EjectionState probedNow() {
        return new EjectionState(self, nowMillis, backoffUntilMillis, nowMillis, services, active);
    }
}
