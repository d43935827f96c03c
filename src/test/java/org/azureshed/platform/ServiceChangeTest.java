package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.azureshed.platform.standin.TargetStandIn.Request;
import org.azureshed.sidecar.SidecarNode.PlatformProtocol;
import org.azureshed.sidecar.SidecarSettings;
import org.junit.jupiter.api.Test;

/** Checks a whole node whose target is replaced by one of another service. */
class ServiceChangeTest {
    private static final int CHANGED = 1;

    /**
     * Guards against requests that bear the name of the former service after the heartbeat of the
     * new target was acknowledged, because the settings were replaced without a signal.
     */
    @Test
    void requestsBearTheServiceOfTheAcknowledgedTarget() throws Exception {
        AtomicReference<Optional<SidecarSettings>> changed =
                new AtomicReference<>(Optional.empty());
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            fleet.addTarget(CHANGED);
            fleet.create(CHANGED, "web-0", true, protocol -> withSettings(protocol, changed))
                    .start();
            SidecarFleet.await("the node is ready", () -> fleet.ready(CHANGED));
            for (int i = 1; i <= 5; i++) {
                String service = "web-" + i;
                changed.set(Optional.of(fleet.settings(CHANGED, service, true)));
                assertEquals(200, fleet.heartbeat(CHANGED, service, "ready", i), fleet::log);
                assertEquals(service, callerService(fleet, "id-" + i), fleet::log);
            }
        }
    }

    private static PlatformProtocol withSettings(
            PlatformProtocol protocol, AtomicReference<Optional<SidecarSettings>> changed) {
        return new PlatformProtocol(
                protocol.names(),
                protocol.store(),
                protocol.configuration(),
                protocol.heartbeats(),
                () -> changed.getAndSet(Optional.empty()));
    }

    /** Returns the service that a request which begins at the changed node names as its caller. */
    private static String callerService(SidecarFleet fleet, String id) throws Exception {
        assertEquals(200, fleet.request(CHANGED, "GET", "/read/a", id).statusCode(), fleet::log);
        Request request =
                fleet.targets.getFirst().executions().stream()
                        .filter(execution -> execution.requestId().equals(id))
                        .findFirst()
                        .orElseThrow();
        return request.headers().get("x-azureshed-caller-service");
    }
}
