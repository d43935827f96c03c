package org.azureshed.ejection;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.Optional;
import org.azureshed.model.NodeId;

/**
 * State of the ejection reducer.
 *
 * @param self this node
 * @param nowMillis time of the last tick
 * @param awayUntilMillis no call to the platform before this time, because it was unavailable
 * @param lastProbeMillis time of the last probe of any hosted target
 * @param services what is known of each service
 */
public record EjectionState(
        NodeId self,
        long nowMillis,
        long awayUntilMillis,
        long lastProbeMillis,
        Map<String, ServiceState> services) {
    /**
     * State of a node that has just started.
     *
     * @param self the node
     * @return the state
     */
    public static EjectionState initial(NodeId self) {
        return new EjectionState(self, 0, 0, 0, HashMap.empty());
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

    ServiceState service(String service) {
        return services.getOrElse(service, ServiceState.initial(service));
    }

    EjectionState with(String service, ServiceState next) {
        return new EjectionState(
                self, nowMillis, awayUntilMillis, lastProbeMillis, services.put(service, next));
    }

    EjectionState without(String service) {
        return new EjectionState(
                self, nowMillis, awayUntilMillis, lastProbeMillis, services.remove(service));
    }

    EjectionState at(long newNowMillis) {
        return new EjectionState(self, newNowMillis, awayUntilMillis, lastProbeMillis, services);
    }

    EjectionState awayUntil(long untilMillis) {
        return new EjectionState(self, nowMillis, untilMillis, lastProbeMillis, services);
    }

    EjectionState probedNow() {
        return new EjectionState(self, nowMillis, awayUntilMillis, nowMillis, services);
    }
}
