package org.azureshed.ejection;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import java.util.Optional;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * State of {@link EjectionReducer}.
 *
 * @param self this node
 * @param nowMillis time of the last tick
 * @param backoffUntilMillis no proposal starts before this time, because the platform was
 *     unavailable
 * @param lastProbeMillis time of the last probe of any hosted target
 * @param services state of each service, by its name
 * @param active services that the next tick has to evaluate; time alone changes nothing for the
 *     others
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
     * @param self this node
     * @return a state without services
     */
    public static EjectionState initial(NodeId self) {
        return new EjectionState(self, 0, 0, 0, HashMap.empty(), HashSet.empty());
    }

    /**
     * The latest agreed record of a service that this node knows.
     *
     * @param service name of the service
     * @return the record; without targets if none is known
     */
    public EjectionRecord recordOf(String service) {
        return services.get(service)
                .map(ServiceState::record)
                .getOrElse(() -> EjectionRecord.empty(service));
    }

    /**
     * The record that routing uses: the agreed one without the entries that would break the floor
     * according to the targets that this node knows.
     *
     * @param service name of the service
     * @return the record; without targets if the service is unknown
     */
    public EjectionRecord enforcedRecordOf(String service) {
        Optional<ServiceState> known = services.get(service).toJavaOptional();
        return known.map(state -> state.floor().enforce(state.record()))
                .orElseGet(() -> EjectionRecord.empty(service));
    }

    /**
     * Whether a target is among the announced targets of a service.
     *
     * @param service name of the service
     * @param target id of the target
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

    /** Excludes a service from evaluation until its next event. */
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
