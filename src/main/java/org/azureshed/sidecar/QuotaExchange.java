package org.azureshed.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.azureshed.directory.Directory;
import org.azureshed.directory.NodeEntry;
import org.azureshed.json.JsonFields;
import org.azureshed.json.JsonSlice;
import org.azureshed.quota.QuotaCoordinator;
import org.azureshed.quota.QuotaDecision;
import org.azureshed.quota.QuotaLimit;
import org.azureshed.quota.QuotaMessage;
import org.azureshed.quota.QuotaPeers;
import org.azureshed.telemetry.UnusableEntries;

/** Carries the messages about quotas between nodes, as JSON. Runs on one event loop. */
final class QuotaExchange implements QuotaPeers {
    static final String PATH = "/fleet/quota";

    private static final long MAX_RETRY_AFTER_MILLIS = 60_000;

    /** A bucket grants while it holds a part of a token. */
    private static final double MIN_TOKENS = -1;

    private final String ownName;
    private final Directory directory;
    private final PeerClient peers;
    private final PeerMessageCodec codec;
    private final UnusableEntries unusable;
    private List<String> names;
    private List<NodeEntry> namedEntries = List.of();

    QuotaExchange(
            String ownName,
            Directory directory,
            PeerClient peers,
            PeerMessageCodec codec,
            UnusableEntries unusable) {
        this.ownName = ownName;
        this.directory = directory;
        this.peers = peers;
        this.codec = codec;
        this.unusable = unusable;
        // The directory lacks this node before the start, and while another one has its address.
        this.names = List.of(ownName);
    }

    @Override
    public List<String> names() {
        // Called for each request; the list must stay the same object while the fleet does.
        List<NodeEntry> entries = new ArrayList<>(directory.nodes());
        if (!entries.equals(namedEntries)) {
            namedEntries = entries;
            List<String> current =
                    Stream.concat(Stream.of(ownName), entries.stream().map(NodeEntry::name))
                            .distinct()
                            .toList();
            if (!current.equals(names)) {
                names = current;
            }
        }
        return names;
    }

    @Override
    public void call(
            String node, QuotaMessage message, long timeoutMillis, ReplyListener listener) {
        Optional<NodeEntry> entry = directory.node(node);
        if (entry.isEmpty()) {
            listener.onReply(Optional.empty(), System.nanoTime());
            return;
        }
        peers.call(
                entry.get(),
                PATH,
                codec.bytes(encode(message)),
                timeoutMillis,
                body -> listener.onReply(body.flatMap(this::reply), System.nanoTime()));
    }

    /**
     * Handles a message of another node.
     *
     * @param coordinator decides about the message
     * @param body the message as JSON
     * @param reply receives the reply, or empty if the message is malformed
     */
    void handleMessage(
            QuotaCoordinator coordinator, byte[] body, Consumer<Optional<byte[]>> reply) {
        JsonNode json;
        QuotaMessage message;
        try {
            json = JsonSlice.of(body).parse(codec.mapper());
            message = message(json);
        } catch (IOException | IllegalArgumentException e) {
            unusable.report(PATH, "message", e.getMessage());
            reply.accept(Optional.empty());
            return;
        }
        coordinator.receive(
                JsonFields.text(json, "from"),
                message,
                System.nanoTime(),
                answer -> reply.accept(Optional.of(codec.bytes(encode(answer)))));
    }

    private ObjectNode encode(QuotaMessage message) {
        ObjectNode json = codec.object().put("from", ownName);
        return switch (message) {
            case QuotaMessage.Ask ask ->
                    limited(json.put("kind", "ask"), ask.organisation(), ask.limit())
                            .put("hops", ask.hops());
            case QuotaMessage.Handover handover -> {
                limited(json.put("kind", "handover"), handover.organisation(), handover.limit());
                handover.tokens().ifPresent(tokens -> json.put("tokens", tokens));
                yield json;
            }
            case QuotaMessage.Ping ignored -> json.put("kind", "ping");
        };
    }

    private static ObjectNode limited(ObjectNode json, String organisation, QuotaLimit limit) {
        return json.put("organisation", organisation)
                .put("rate", limit.requestsPerSecond())
                .put("burst", limit.burst())
                .put("version", limit.version());
    }

    private static QuotaMessage message(JsonNode json) {
        // Read first: a message without a sender is malformed, whatever its kind.
        JsonFields.text(json, "from");
        String kind = JsonFields.text(json, "kind");
        return switch (kind) {
            case "ask" ->
                    new QuotaMessage.Ask(
                            JsonFields.text(json, "organisation"),
                            limit(json),
                            (int) JsonFields.wholeNumber(json, "hops", 0, Integer.MAX_VALUE));
            case "handover" ->
                    new QuotaMessage.Handover(
                            JsonFields.text(json, "organisation"), limit(json), tokens(json));
            case "ping" -> new QuotaMessage.Ping();
            default -> throw new IllegalArgumentException("unknown kind " + kind);
        };
    }

    private static QuotaLimit limit(JsonNode json) {
        return new QuotaLimit(
                json.path("rate").asDouble(),
                json.path("burst").asDouble(),
                JsonFields.wholeNumber(json, "version", 0, Long.MAX_VALUE));
    }

    private static OptionalDouble tokens(JsonNode json) {
        JsonNode tokens = json.path("tokens");
        if (tokens.isMissingNode()) {
            return OptionalDouble.empty();
        }
        double value = tokens.doubleValue();
        if (!tokens.isNumber() || !Double.isFinite(value) || value < MIN_TOKENS) {
            throw new IllegalArgumentException("tokens is not a number of -1 or more");
        }
        return OptionalDouble.of(value);
    }

    private ObjectNode encode(QuotaMessage.Reply reply) {
        return switch (reply) {
            case QuotaMessage.Reply.Decided(QuotaDecision.Granted ignored) ->
                    codec.object().put("granted", true);
            case QuotaMessage.Reply.Decided(QuotaDecision.Refused refused) ->
                    codec.object()
                            .put("granted", false)
                            .put("retryAfterMillis", refused.retryAfterMillis());
            case QuotaMessage.Reply.Tokens held -> {
                ObjectNode json = codec.object().put("handover", true);
                held.tokens().ifPresent(tokens -> json.put("tokens", tokens));
                yield json;
            }
            case QuotaMessage.Reply.Reached ignored -> codec.object().put("reached", true);
        };
    }

    private Optional<QuotaMessage.Reply> reply(byte[] body) {
        try {
            JsonNode json = JsonSlice.of(body).parse(codec.mapper());
            if (json.path("granted").isBoolean()) {
                return Optional.of(new QuotaMessage.Reply.Decided(decision(json)));
            }
            return Optional.of(
                    json.has("handover")
                            ? new QuotaMessage.Reply.Tokens(tokens(json))
                            : new QuotaMessage.Reply.Reached());
        } catch (IOException | IllegalArgumentException e) {
            unusable.report(PATH, "reply", e.getMessage());
            return Optional.empty();
        }
    }

    private static QuotaDecision decision(JsonNode json) {
        return json.path("granted").booleanValue()
                ? new QuotaDecision.Granted()
                : new QuotaDecision.Refused(
                        JsonFields.wholeNumber(
                                json, "retryAfterMillis", 0, MAX_RETRY_AFTER_MILLIS));
    }
}
