package org.azureshed.sidecar;

import java.io.IOException;
import org.azureshed.directory.NodeEntry;
import org.azureshed.json.JsonSlice;
import org.azureshed.telemetry.UnusableEntries;
import org.azureshed.traffic.ControlClient;

/** Sends messages to other nodes. A lost message is not sent again. */
final class PeerClient {
    private static final long CALL_TIMEOUT_MILLIS = 700;

    private final ControlClient client;
    private final int peerPort;
    private final UnusableEntries unusable;

    /**
     * Creates a client.
     *
     * @param client HTTP client
     * @param peerPort port on which all nodes receive messages
     * @param unusable receives malformed replies
     */
    PeerClient(ControlClient client, int peerPort, UnusableEntries unusable) {
        this.client = client;
        this.peerPort = peerPort;
        this.unusable = unusable;
    }

    /** Uses the body of a reply; an exception leaves the rest of the reply unused. */
    interface ReplyReader {
        void read(JsonSlice reply) throws IOException;
    }

    /**
     * Sends a message.
     *
     * @param node receiver
     * @param path kind of the message
     * @param body JSON body; empty for none
     * @param onReply receives the body of a successful reply, unless it is empty
     */
    void send(NodeEntry node, String path, byte[] body, ReplyReader onReply) {
        client.send(
                node.address().withPort(peerPort),
                "POST",
                path,
                body,
                CALL_TIMEOUT_MILLIS,
                result -> {
                    if (result instanceof ControlClient.Result.Response response
                            && response.status() == 200
                            && response.body().length > 0) {
                        try {
                            onReply.read(JsonSlice.of(response.body()));
                        } catch (IOException e) {
                            unusable.report(path, node.name(), e.getMessage());
                        }
                    }
                });
    }
}
