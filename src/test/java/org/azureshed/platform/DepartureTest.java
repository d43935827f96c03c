package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azureshed.platform.standin.StoreStandIn;
import org.azureshed.sidecar.SidecarNode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks with whole nodes that a target whose departure was acknowledged gets no request again. The
 * departed target is the only one in its availability zone, and later the only one left.
 */
class DepartureTest {
    private static final int LEAVING = 1;

    /**
     * Guards against a restarted node that forgets an acknowledged departure and takes a late
     * heartbeat for a new one.
     */
    @ParameterizedTest
    @ValueSource(strings = {"DELETE", "draining"})
    void departureSurvivesARestartOfTheNode(String announcement) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            assertEquals(200, leave(fleet, announcement));
            restart(fleet);
            assertEquals(200, fleet.heartbeat(LEAVING, "shop", "ready", 1));
            assertUnused(fleet);
            // A new start under the same id is another target.
            long newStart = System.currentTimeMillis();
            assertEquals(200, fleet.heartbeat(LEAVING, "shop", "ready", newStart));
            SidecarFleet.await("the new start serves", () -> served(fleet, 0));
            restart(fleet);
            assertEquals(200, fleet.heartbeat(LEAVING, "shop", "ready", newStart));
            SidecarFleet.await("it serves after a restart", () -> served(fleet, 0));
        }
    }

    /**
     * Guards against a departure that is undone by a write of the node's entry which got no answer
     * and is done late: all processes end, and the new ones believe the entry that it left.
     */
    @ParameterizedTest
    @ValueSource(strings = {"DELETE", "draining"})
    void departureErasedFromTheStoreHolds(String announcement) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            JsonNode former = fleet.store.content("azureshed-nodes", "node-1").orElseThrow();
            assertEquals("SERVING", former.path("target").path("condition").asText());
            assertEquals(200, leave(fleet, announcement));
            killAll(fleet);
            fleet.store.put("azureshed-nodes", "node-1", former);
            startAll(fleet);
            assertUnused(fleet);
        }
    }

    /**
     * Guards against a write of the node's entry that got no answer, is done late and replaces the
     * one with the departure.
     */
    @Test
    void lateWriteDoesNotReplaceANewerOne() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.store.fault(StoreStandIn.Fault.LATE_WRITES);
            assertEquals(200, fleet.heartbeat(LEAVING, "shop", "ready", 2));
            SidecarFleet.await("the write is sent", () -> fleet.store.heldWrites() == 1);
            fleet.store.fault(StoreStandIn.Fault.NONE);
            assertEquals(200, leave(fleet, "DELETE"));
            SidecarFleet.await("the departure is stored", () -> departureIsStored(fleet));
            SidecarFleet.await("the late write is over", () -> fleet.store.heldWrites() == 0);
            assertTrue(departureIsStored(fleet), fleet::log);
        }
    }

    private static boolean departureIsStored(SidecarFleet fleet) {
        return fleet.store
                .content("azureshed-nodes", "node-1")
                .filter(entry -> entry.has("departed"))
                .isPresent();
    }

    /**
     * Guards against a departure that was acknowledged while the store was away and is lost with
     * the processes.
     */
    @ParameterizedTest
    @ValueSource(strings = {"DELETE", "draining"})
    void departureThatNothingRemembersHolds(String announcement) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.store.fault(StoreStandIn.Fault.BUSY);
            assertEquals(200, leave(fleet, announcement));
            killAll(fleet);
            fleet.store.fault(StoreStandIn.Fault.NONE);
            startAll(fleet);
            assertUnused(fleet);
        }
    }

    private static void killAll(SidecarFleet fleet) {
        fleet.nodes.forEach(SidecarNode::close);
        fleet.nodes.clear();
    }

    private static void startAll(SidecarFleet fleet) throws Exception {
        for (int node : List.of(0, LEAVING)) {
            fleet.start(node, "shop", false);
        }
        for (int node : List.of(0, LEAVING)) {
            SidecarFleet.await("node " + node + " is back", () -> fleet.ready(node));
        }
    }

    /**
     * Guards against a new process that acknowledges a departure, but does not keep it because it
     * has had no heartbeat that names the start.
     */
    @Test
    void departureAcknowledgedByANewProcessHolds() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            // No heartbeat is repeated here, so nothing of the target is left in the store.
            kill(fleet);
            fleet.store.put("azureshed-nodes", "node-1", JsonNodeFactory.instance.objectNode());
            fleet.start(LEAVING, "shop", false);
            assertEquals(200, leave(fleet, "DELETE"));
            assertEquals(200, fleet.heartbeat(LEAVING, "shop", "ready", 1));
            assertUnused(fleet);
            long newStart = System.currentTimeMillis() + 1;
            assertEquals(200, fleet.heartbeat(LEAVING, "shop", "ready", newStart));
            SidecarFleet.await("the new start serves", () -> served(fleet, 0));
        }
    }

    /**
     * Guards against a former entry of the node that undoes a departure, because other nodes send
     * it to the new process after that has acknowledged the departure.
     */
    @Test
    void departureIsNotUndoneByTheFormerEntry() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.store.fault(StoreStandIn.Fault.BUSY);
            kill(fleet);
            fleet.start(LEAVING, "shop", false);
            assertEquals(200, leave(fleet, "DELETE"));
            // Every node now exchanges digests with the other one at least once.
            TimeUnit.MILLISECONDS.sleep(3_000);
            fleet.store.fault(StoreStandIn.Fault.NONE);
            SidecarFleet.await("the node is back", () -> fleet.ready(LEAVING));
            assertUnused(fleet);
        }
    }

    /**
     * Guards against a departed target that is used again because the departure was acknowledged
     * while the store was away, and the restarted node has it from nowhere but other nodes.
     */
    @Test
    void departureThatOnlyOtherNodesRememberHolds() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop", "shop")) {
            fleet.store.fault(StoreStandIn.Fault.BUSY);
            assertEquals(200, leave(fleet, "DELETE"));
            kill(fleet);
            fleet.store.fault(StoreStandIn.Fault.NONE);
            fleet.start(LEAVING, "shop", false);
            SidecarFleet.await("the node is back", () -> fleet.ready(LEAVING));
            assertEquals(200, fleet.heartbeat(LEAVING, "shop", "ready", 1));
            assertUnused(fleet);
        }
    }

    /**
     * Guards against a target that is taken for departed for good, because it was silent when its
     * node restarted.
     */
    @Test
    void silentTargetIsUsedAgainAfterARestartOfTheNode() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            SidecarFleet.await("the target counts as gone", () -> !served(fleet, 0));
            fleet.nodes.removeFirst().close();
            fleet.start(0, "shop", false);
            SidecarFleet.await("the node is back", () -> fleet.ready(0));
            assertEquals(200, fleet.heartbeat(0, "shop", "ready", 1));
            SidecarFleet.await("the target serves", () -> served(fleet, 0));
        }
    }

    private static int leave(SidecarFleet fleet, String announcement) throws Exception {
        return announcement.equals("DELETE")
                ? fleet.control(LEAVING, "DELETE", SidecarFleet.targetId(LEAVING), "").statusCode()
                : fleet.heartbeat(LEAVING, "shop", announcement, 1);
    }

    private static void restart(SidecarFleet fleet) throws Exception {
        kill(fleet);
        fleet.start(LEAVING, "shop", false);
        SidecarFleet.await("the node is back", () -> fleet.ready(LEAVING));
    }

    private static void kill(SidecarFleet fleet) {
        fleet.nodes.get(LEAVING).close();
        fleet.nodes.remove(LEAVING);
    }

    /**
     * Checks that neither node uses the departed target: first beside another target in the other
     * zone, then without any other.
     */
    private static void assertUnused(SidecarFleet fleet) throws Exception {
        // The other target counts as gone 6 s after its first heartbeat.
        assertEquals(200, fleet.heartbeat(0, "shop", "ready", 1));
        TimeUnit.MILLISECONDS.sleep(500);
        int before = fleet.targets.get(LEAVING).executions().size();
        for (int i = 0; i < 20; i++) {
            int node = i % 2;
            String id = "beside-" + i;
            assertEquals(200, fleet.request(node, "GET", "/read/a", id).statusCode(), fleet::log);
        }
        assertEquals(200, fleet.heartbeat(0, "shop", "draining", 1));
        for (int node : List.of(0, 1, 0, 1)) {
            String id = "alone-" + node;
            assertEquals(503, fleet.request(node, "GET", "/read/a", id).statusCode(), fleet::log);
        }
        assertEquals(before, fleet.targets.get(LEAVING).executions().size(), fleet::log);
    }

    private static boolean served(SidecarFleet fleet, int node) {
        try {
            String id = "new-" + System.nanoTime();
            return fleet.request(node, "GET", "/read/a", id).statusCode() == 200;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
