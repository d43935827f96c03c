package org.azureshed.sidecar;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Consumer;
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
    private Consumer<Boolean> onOutcome = reached -> {};

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

    /**
     * Sets the listener for the outcomes of all calls.
     *
     * @param listener receives whether the node answered
     */
    void onOutcome(Consumer<Boolean> listener) {
        onOutcome = listener;
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
        call(
                node,
                path,
                body,
                CALL_TIMEOUT_MILLIS,
                reply -> {
                    if (reply.isPresent() && reply.get().length > 0) {
                        try {
                            onReply.read(JsonSlice.of(reply.get()));
                        } catch (IOException e) {
                            unusable.report(path, node.name(), e.getMessage());
                        }
                    }
                });
    }

    /**
     * Sends a message and tells also if it got no reply.
     *
     * @param node receiver
     * @param path kind of the message
     * @param body JSON body; empty for none
     * @param timeoutMillis timeout until the complete reply
     * @param onEnd receives the body of a successful reply, or empty if there was none
     */
    void call(
            NodeEntry node,
            String path,
            byte[] body,
            long timeoutMillis,
            Consumer<Optional<byte[]>> onEnd) {
        client.send(
                node.address().withPort(peerPort),
                "POST",
                path,
                body,
                timeoutMillis,
                result -> {
                    onOutcome.accept(result instanceof ControlClient.Result.Response);
                    onEnd.accept(
                            result instanceof ControlClient.Result.Response response
                                            && response.status() == 200
                                    ? Optional.of(response.body())
                                    : Optional.empty());
                });
    }
}
