package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.sidecar.SidecarNode;
import org.junit.jupiter.api.RepeatedTest;

/** Checks heartbeats that arrive while a node is still opening its listeners. */
class EarlyHeartbeatTest {
    private static final int ANSWER_TIMEOUT_MILLIS = 5_000;

    /**
     * Guards against a target that no node knows because its first heartbeat, the only one that
     * changed anything, arrived before the node published changes.
     */
    @RepeatedTest(5)
    void targetOfAnEarlyHeartbeatIsPublished() throws Exception {
        try (SidecarFleet fleet = new SidecarFleet("other")) {
            fleet.addTarget(1);
            SidecarNode late = fleet.create(1, "shop", true);
            Thread target = Thread.startVirtualThread(() -> sendAsSoonAsPossible(fleet));
            late.start();
            target.join();
            SidecarFleet.await("the node is ready", () -> fleet.ready(1));
            SidecarFleet.await("the target serves", () -> served(fleet));
        }
    }

    private static boolean served(SidecarFleet fleet) {
        try {
            return fleet.request(0, "GET", "/read/a", "id-1").statusCode() == 200;
        } catch (IOException e) {
            return false;
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Connects as soon as the port accepts connections and sends one heartbeat. */
    private static void sendAsSoonAsPossible(SidecarFleet fleet) {
        InetSocketAddress address = new InetSocketAddress(fleet.ip(1), SidecarFleet.CONTROL_PORT);
        String body =
                ProtocolRequests.heartbeat(
                        fleet.address(1, SidecarFleet.TARGET_PORT),
                        "shop",
                        SidecarFleet.SLOTS,
                        "ready",
                        1,
                        1);
        byte[] message =
                ("PUT /instances/"
                                + SidecarFleet.targetId(1)
                                + " HTTP/1.1\r\nHost: node\r\nContent-Length: "
                                + body.length()
                                + "\r\n\r\n"
                                + body)
                        .getBytes(StandardCharsets.US_ASCII);
        while (true) {
            try (Socket socket = new Socket()) {
                socket.connect(address);
                socket.setSoTimeout(ANSWER_TIMEOUT_MILLIS);
                socket.getOutputStream().write(message);
                byte[] status = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
                assertEquals("HTTP/1.1 200", new String(status, StandardCharsets.US_ASCII));
                return;
            } catch (java.net.ConnectException notListening) {
                Thread.onSpinWait();
            } catch (IOException e) {
                throw new IllegalStateException("the heartbeat was not answered", e);
            }
        }
    }
}
