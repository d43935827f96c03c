package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks heartbeats that cannot be the local target's. */
class OddHeartbeatTest {
    /**
     * Guards against a heartbeat of another writer that displaces the local target: it has the
     * target's address and a later start.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"service\":\"no-such\",\"version\":\"v\",\"zone\":\"z\"",
                "\"service\":\"shop\",\"version\":\"v\",\"zone\":7",
                "\"service\":\"shop\",\"version\":null,\"zone\":\"z\""
            })
    void oddHeartbeatDoesNotDisplaceTheTarget(String fields) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            String body =
                    "{\"address\":\"%s\",\"born\":%d,\"info\":{\"slots\":4,%s},"
                                    .formatted(
                                            fleet.address(0, SidecarFleet.TARGET_PORT),
                                            System.currentTimeMillis(),
                                            fields)
                            + "\"status\":{\"state\":\"ready\",\"sequence\":9,\"warmupLeftMs\":0}}";
            assertEquals(400, fleet.control(0, "PUT", "i-9", body).statusCode());
            assertEquals(200, fleet.heartbeat(0, "shop", "ready", 1));
            assertEquals(200, fleet.request(0, "GET", "/read/a", "id-1").statusCode());
        }
    }

    /** Guards against malformed heartbeats that register a target or disturb the registered one. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{",
                "{}",
                "{\"address\":7,\"info\":{},\"status\":{}}",
                "{\"address\":\"1:1\",\"info\":{\"service\":\"shop\",\"version\":\"v\",\"zone\":\"z\",\"slots\":4},"
                        + "\"status\":{\"state\":\"resting\",\"sequence\":1}}"
            })
    void unreadableHeartbeatIsRefused(String body) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            assertEquals(400, fleet.control(0, "PUT", "i-9", body).statusCode());
            assertEquals(200, fleet.request(0, "GET", "/read/a", "id-1").statusCode());
        }
    }
}
