package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.StoreStandIn;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Checks whole nodes while the store loses answers on connections that stay open. */
class LostStoreAnswerTest {
    /** Time in which a confirmed configuration must be in force at a sound node. */
    private static final long CONFIGURATION_MILLIS = 2_000;

    private static final int NODES = 3;

    static Stream<Arguments> losses() {
        return Stream.of(
                Arguments.of("answers to waiting watches, all nodes", NODES, 500, 0),
                Arguments.of("answers to waiting watches, two nodes", 2, 500, 0),
                Arguments.of("answers to waiting watches, one node", 1, 500, 0),
                Arguments.of("all answers, changed at once, all nodes", NODES, 4_300, 0),
                Arguments.of("all answers, changed late, all nodes", NODES, 4_300, 3_900),
                Arguments.of("all answers, changed in between, two nodes", 2, 4_300, 2_000));
    }

    /**
     * Guards against nodes that wait for the answer to a watch that was lost, while a newer
     * configuration has been confirmed.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource("losses")
    void configurationIsInForceSoonAfterTheLoss(
            String name, int affectedNodes, long lossMillis, long changeMillis) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop", "shop")) {
            List<String> affected =
                    Stream.iterate(0, i -> i + 1).limit(affectedNodes).map(fleet::ip).toList();
            fleet.store.limitFaultTo(affected::contains);
            fleet.store.fault(StoreStandIn.Fault.SWALLOWED_ANSWERS);
            TimeUnit.MILLISECONDS.sleep(changeMillis);
            fleet.store.put("config", "main", changedConfiguration());
            TimeUnit.MILLISECONDS.sleep(lossMillis - changeMillis);
            fleet.store.fault(StoreStandIn.Fault.NONE);
            long start = System.nanoTime();
            for (int i = 0; i < NODES; i++) {
                int node = i;
                SidecarFleet.await(
                        "the new route on node " + i, () -> status(fleet, node) == 200, 40);
            }
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
            assertTrue(millis <= CONFIGURATION_MILLIS, () -> millis + " ms\n" + fleet.log());
        }
    }

    private static com.fasterxml.jackson.databind.node.ObjectNode changedConfiguration() {
        return ProtocolRequests.configuration(
                7,
                List.of(
                        new ProtocolRequests.RouteSpec("/read/", "idempotent", "shop", 4_000),
                        new ProtocolRequests.RouteSpec("/added/", "idempotent", "shop", 4_000)));
    }

    private static int status(SidecarFleet fleet, int node) {
        try {
            String id = "c-" + System.nanoTime();
            return fleet.request(node, "GET", "/added/a", id).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
