package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.azureshed.platform.standin.StoreStandIn;
import org.azureshed.platform.standin.TargetStandIn.Behaviour;
import org.azureshed.sidecar.SidecarNode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Checks that a closed node leaves no listener behind, whatever it was doing. */
class NodeCloseTest {
    private static final int ROUNDS = 8;
    private static final List<Integer> PORTS =
            List.of(
                    SidecarFleet.HOST_PORT,
                    SidecarFleet.HEALTH_PORT,
                    SidecarFleet.ENTRY_PORT,
                    SidecarFleet.CONTROL_PORT,
                    SidecarFleet.PEER_PORT);

    private enum State {
        JUST_STARTED,
        READING_THE_FORMER_ENTRY,
        IDLE_CONNECTIONS,
        BEGUN_REQUESTS,
        RUNNING_REQUESTS,
        STOPPING
    }

    /** Guards against listeners that stay open, so that no node can start at the same address. */
    @ParameterizedTest
    @EnumSource
    void closedNodeLeavesNoListener(State state) throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("shop")) {
            fleet.addTarget(1);
            fleet.targets.forEach(target -> target.behaviour(any -> new Behaviour.NoAnswer()));
            for (int round = 0; round < ROUNDS; round++) {
                fleet.store.fault(
                        state == State.READING_THE_FORMER_ENTRY
                                ? StoreStandIn.Fault.SILENT
                                : StoreStandIn.Fault.NONE);
                SidecarNode node = fleet.start(1, "shop", round == 0);
                List<Socket> callers = bringTo(state, fleet, node);
                node.close();
                fleet.nodes.remove(node);
                assertEquals(List.of(), portsInUse(fleet), "round " + round + fleet.log());
                for (Socket caller : callers) {
                    caller.close();
                }
            }
        }
    }

    private static List<Socket> bringTo(State state, SidecarFleet fleet, SidecarNode node)
            throws Exception {
        List<Socket> callers = new ArrayList<>();
        if (state == State.JUST_STARTED || state == State.READING_THE_FORMER_ENTRY) {
            return callers;
        }
        SidecarFleet.await("the node is ready", () -> fleet.ready(1));
        fleet.heartbeat(1, "shop", "ready", 1);
        if (state == State.STOPPING) {
            Thread.startVirtualThread(node::stop);
        }
        String request =
                "GET /read/a HTTP/1.1\r\nHost: shop.example\r\nX-Azureshed-Request-Id: close\r\n";
        for (int i = 0; i < 20; i++) {
            Socket caller = new Socket(fleet.ip(1), SidecarFleet.ENTRY_PORT);
            callers.add(caller);
            String sent =
                    switch (state) {
                        case BEGUN_REQUESTS -> request;
                        case RUNNING_REQUESTS, STOPPING -> request + "\r\n";
                        default -> "";
                    };
            caller.getOutputStream().write(sent.getBytes());
        }
        return callers;
    }

    private static List<Integer> portsInUse(SidecarFleet fleet) {
        List<Integer> inUse = new ArrayList<>();
        for (int port : PORTS) {
            try (ServerSocket probe =
                    new ServerSocket(port, 1, InetAddress.getByName(fleet.ip(1)))) {
                assertEquals(port, probe.getLocalPort());
            } catch (IOException e) {
                inUse.add(port);
            }
        }
        return inUse;
    }
}
