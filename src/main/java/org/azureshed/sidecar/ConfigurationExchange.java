package org.azureshed.sidecar;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;
import org.azureshed.directory.NodeEntry;
import org.azureshed.json.JsonSlice;

/**
 * Exchanges the configuration between nodes: the word that there is a version, and its content if
 * two digests show that one of them lacks it. Runs on one event loop.
 */
final class ConfigurationExchange {
    private static final String VERSION_PATH = "/fleet/version";
    private static final String CONTENT_PATH = "/fleet/configuration";

    /** Distances, in the order of the nodes, of those that this node tells of a new version. */
    private static final int[] TOLD_DISTANCES = {1, 2, 8};

    private static final byte[] EMPTY_BODY = {};

    private final ConfigurationHolder configuration;
    private final NodeOrder order;
    private final PeerClient peers;
    private final PeerMessageCodec codec;
    private LongConsumer onKnown = version -> {};
    private Runnable onLearned = () -> {};

    ConfigurationExchange(
            ConfigurationHolder configuration,
            NodeOrder order,
            PeerClient peers,
            PeerMessageCodec codec) {
        this.configuration = configuration;
        this.order = order;
        this.peers = peers;
        this.codec = codec;
    }

    /**
     * Sets the listeners for configurations that other nodes have.
     *
     * @param known receives the version that another node knows of
     * @param learned runs when another node has sent a newer version, which is active now
     */
    void onElsewhere(LongConsumer known, Runnable learned) {
        onKnown = known;
        onLearned = learned;
    }

    /** Version of the active configuration; 0 if there is none. */
    long version() {
        return configuration.version();
    }

    /**
     * Tells a few other nodes that there is a version. They are not neighbours only, so that
     * several nodes that have gone do not end the chain.
     *
     * @param version version of a configuration
     */
    void tell(long version) {
        byte[] body = codec.bytes(codec.object().put("config", version));
        List<NodeEntry> others = order.others();
        for (int distance : TOLD_DISTANCES) {
            if (distance <= others.size()) {
                peers.send(others.get(distance - 1), VERSION_PATH, body, ignored -> {});
            }
        }
    }

    /** Gets the configuration of a node that has a newer one, or sends it this node's. */
    void compare(NodeEntry partner, long partnerVersion) {
        if (partnerVersion > configuration.version()) {
            peers.send(
                    partner, CONTENT_PATH, EMPTY_BODY, content -> apply(content, partner.name()));
        } else if (partnerVersion < configuration.version()
                && configuration.content().isPresent()) {
            byte[] content = codec.bytes(configuration.content().get());
            peers.send(partner, CONTENT_PATH, content, ignored -> {});
        }
    }

    /**
     * Handles a message of another node.
     *
     * @param path path of the message
     * @param body JSON body; empty for none
     * @return the reply, or empty if the path is not one of this exchange or there is no
     *     configuration to send
     * @throws IOException if the message is malformed
     */
    Optional<byte[]> handleMessage(String path, byte[] body) throws IOException {
        return switch (path) {
            case VERSION_PATH -> {
                onKnown.accept(codec.number(JsonSlice.of(body), "config"));
                yield Optional.of(
                        codec.bytes(codec.object().put("config", configuration.version())));
            }
            case CONTENT_PATH -> {
                if (body.length > 0) {
                    apply(JsonSlice.of(body), "message");
                }
                yield configuration.content().map(codec::bytes);
            }
            default -> Optional.empty();
        };
    }

    private void apply(JsonSlice content, String source) throws IOException {
        if (configuration.applyIfNewer(content.parse(codec.mapper()), source)) {
            onLearned.run();
        }
    }
}
