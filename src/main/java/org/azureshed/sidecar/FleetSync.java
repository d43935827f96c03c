package org.azureshed.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azureshed.directory.Condition;
import org.azureshed.directory.Directory;
import org.azureshed.directory.NodeEntry;
import org.azureshed.directory.TargetEntry;
import org.azureshed.dispatch.SuspectRequests;
import org.azureshed.poison.RequestFingerprint;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.traffic.SmallCalls;

/**
 * Keeps the directory the same on all nodes. Each node writes its own entry to the store and then
 * lists the others, so that of two nodes that start together at least one finds the other. A change
 * is sent to all known nodes at once; a regular exchange of digests with a random node repairs what
 * was lost. Runs on one event loop.
 */
final class FleetSync {
    static final String KIND = "azureshed-nodes";

    private static final long GOSSIP_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 700;

    /** Part of the digest exchanges that stay in the availability zone, where bytes are free. */
    private static final double LOCAL_GOSSIP_PART = 0.75;

    /** Interval of the cheap listing that finds nodes which no known node has heard of. */
    private static final long LISTING_MILLIS = 8_000;

    private static final byte[] NOTHING = {};

    private final SidecarSettings settings;
    private final Directory directory;
    private final SuspectRequests suspects;
    private final FleetStore store;
    private final SmallCalls calls;
    private final EventLoop loop;
    private final ConfigurationKeeper configuration;
    private final SplittableRandom random;
    private final DecisionLog log;
    private final ObjectMapper json;
    private final Backoff writeBackoff;
    private final List<Runnable> afterWrite = new ArrayList<>();
    private Consumer<TargetEntry> onFormerTarget = entry -> {};
    private NodeEntry own;
    private Optional<TargetEntry> storedTarget = Optional.empty();
    private boolean exists;
    private boolean writing;
    private boolean writeWanted;
    private boolean listed;

    FleetSync(
            SidecarSettings settings,
            long incarnation,
            Directory directory,
            SuspectRequests suspects,
            FleetStore store,
            SmallCalls calls,
            EventLoop loop,
            ConfigurationKeeper configuration,
            SplittableRandom random,
            ObjectMapper json,
            DecisionLog log) {
        this.settings = settings;
        this.directory = directory;
        this.suspects = suspects;
        this.store = store;
        this.calls = calls;
        this.loop = loop;
        this.configuration = configuration;
        this.random = random;
        this.json = json;
        this.log = log;
        this.writeBackoff = new Backoff(random.split());
        this.own =
                new NodeEntry(
                        settings.node(),
                        settings.availabilityZone(),
                        settings.advertisedHostAddress(),
                        incarnation,
                        0,
                        Optional.empty());
        // A node that ran before has an object to replace; the first start has to create one.
        this.exists = !settings.firstStart();
    }

    void start() {
        directory.merge(own);
        writeWanted = true;
        write();
        // An announcement that crosses a restart is repaired by the exchange of digests.
        loop.schedule(this::gossip, random.nextLong(GOSSIP_MILLIS), TimeUnit.MILLISECONDS);
        loop.schedule(
                this::listAgain,
                LISTING_MILLIS / 2 + random.nextLong(LISTING_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    /** Sets who hears about the target that this node had published before it restarted. */
    void onFormerTarget(Consumer<TargetEntry> listener) {
        onFormerTarget = listener;
    }

    /** Whether the other nodes have been listed once. */
    boolean listed() {
        return listed;
    }

    /** Publishes a change of the target beside this node. */
    void targetChanged(Optional<TargetEntry> target) {
        update(own.incarnation(), target);
        if (!storedTarget.map(FleetSync::lasting).equals(target.map(FleetSync::lasting))) {
            writeWanted = true;
            write();
        }
    }

    /** Tells all nodes of a request that was running when the target beside this node crashed. */
    void requestCrashedTarget(RequestFingerprint request) {
        suspects.crashed(own.name(), request, System.nanoTime());
        log.write("request_suspected", "request", Long.toHexString(request.value()));
        announce();
    }

    /** Runs a task when the present entry is in the store. */
    void whenStored(Runnable task) {
        if (!writing && !writeWanted) {
            task.run();
        } else {
            afterWrite.add(task);
        }
    }

    /** The part of a target's description that is worth a write: what outlasts a few seconds. */
    private static TargetEntry lasting(TargetEntry target) {
        return target.condition().usable() ? target.withCondition(Condition.SERVING) : target;
    }

    private void update(long incarnation, Optional<TargetEntry> target) {
        own =
                new NodeEntry(
                        own.name(),
                        own.availabilityZone(),
                        own.address(),
                        incarnation,
                        own.revision() + 1,
                        target);
        directory.merge(own);
        announce();
    }

    private void announce() {
        byte[] body = bytes(message(List.of(own)));
        for (NodeEntry node : directory.nodes()) {
            if (!node.name().equals(own.name())) {
                send(node, "/fleet/entries", body, reply -> merge(reply, node.name()));
            }
        }
    }

    private void write() {
        if (writing || !writeWanted) {
            return;
        }
        writing = true;
        writeWanted = false;
        NodeEntry written = own;
        Consumer<FleetStore.Result> done = result -> written(written, result);
        if (exists) {
            store.replace(KIND, own.name(), NodeEntryCodec.encode(written), done);
        } else {
            store.create(KIND, own.name(), NodeEntryCodec.encode(written), done);
        }
    }

    private void written(NodeEntry written, FleetStore.Result result) {
        writing = false;
        switch (result) {
            case FleetStore.Result.Done ignored -> {
                exists = true;
                storedTarget = written.target();
                writeBackoff.reset();
                if (!listed) {
                    list("");
                }
            }
            case FleetStore.Result.Missing ignored -> {
                exists = false;
                writeWanted = true;
            }
            case FleetStore.Result.Conflict ignored -> {
                exists = true;
                writeWanted = true;
            }
            default -> {
                log.write("entry_write_failed", "result", result);
                writeWanted = true;
                loop.schedule(this::write, writeBackoff.next(), TimeUnit.MILLISECONDS);
                return;
            }
        }
        if (writeWanted) {
            write();
        } else {
            List<Runnable> tasks = List.copyOf(afterWrite);
            afterWrite.clear();
            tasks.forEach(Runnable::run);
        }
    }

    private void list(String after) {
        store.list(KIND, after, false, result -> onListing(result, after, false));
    }

    private void listAgain() {
        store.list(KIND, "", true, result -> onListing(result, "", true));
        loop.schedule(this::listAgain, LISTING_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onListing(FleetStore.Result result, String after, boolean stale) {
        if (!(result instanceof FleetStore.Result.Done done)) {
            log.write("node_listing_failed", "result", result);
            if (!stale) {
                loop.schedule(() -> list(after), writeBackoff.next(), TimeUnit.MILLISECONDS);
            }
            return;
        }
        boolean changed = false;
        for (FleetStore.StoredEntry stored : done.entries()) {
            Optional<NodeEntry> entry = NodeEntryCodec.decode(stored.content());
            if (entry.isEmpty()) {
                log.write("entry_unreadable", "name", stored.name());
            } else {
                changed |= heard(entry.get());
            }
        }
        if (done.more() && !done.entries().isEmpty()) {
            String next = done.entries().getLast().name();
            store.list(KIND, next, stale, page -> onListing(page, next, stale));
        } else if (!listed) {
            listed = true;
            log.write("nodes_listed", "nodes", directory.nodes().size());
            announce();
        } else if (changed) {
            log.write("nodes_found_by_listing", "nodes", directory.nodes().size());
        }
    }

    /** Merges an entry; one of an earlier life of this node makes it choose a higher number. */
    private boolean heard(NodeEntry entry) {
        if (!entry.name().equals(own.name())) {
            return directory.merge(entry);
        }
        if (entry.incarnation() == own.incarnation() && entry.revision() <= own.revision()) {
            return false;
        }
        if (entry.address().equals(own.address()) && !listed) {
            entry.target().ifPresent(onFormerTarget);
        }
        if (entry.supersedes(own)) {
            log.write("incarnation_raised", "from", own.incarnation(), "to", entry.incarnation());
            update(entry.incarnation() + 1, own.target());
            writeWanted = true;
            write();
        }
        return false;
    }

    private void gossip() {
        loop.schedule(this::gossip, GOSSIP_MILLIS, TimeUnit.MILLISECONDS);
        List<NodeEntry> others = others(random.nextDouble() < LOCAL_GOSSIP_PART);
        if (others.isEmpty()) {
            return;
        }
        NodeEntry partner = others.get(random.nextInt(others.size()));
        ObjectNode digest = json.createObjectNode();
        digest.put("digest", directory.digest()).put("config", configuration.version());
        send(partner, "/fleet/digest", bytes(digest), reply -> compared(partner, reply));
    }

    private List<NodeEntry> others(boolean local) {
        List<NodeEntry> near = new ArrayList<>();
        List<NodeEntry> all = new ArrayList<>();
        for (NodeEntry node : directory.nodes()) {
            if (!node.name().equals(own.name())) {
                all.add(node);
                if (node.availabilityZone().equals(own.availabilityZone())) {
                    near.add(node);
                }
            }
        }
        return local && !near.isEmpty() ? near : all;
    }

    private void compared(NodeEntry partner, JsonNode reply) {
        if (reply.has("entries")) {
            merge(reply, partner.name());
            if (directory.digest() != reply.path("digest").asLong()) {
                byte[] all = bytes(message(List.copyOf(directory.nodes())));
                send(partner, "/fleet/entries", all, merged -> merge(merged, partner.name()));
            }
        }
        long theirs = reply.path("config").asLong();
        if (theirs > configuration.version()) {
            send(
                    partner,
                    "/fleet/configuration",
                    NOTHING,
                    content -> configuration.offer(content, partner.name()));
        } else if (theirs < configuration.version() && configuration.content().isPresent()) {
            byte[] content = bytes(configuration.content().get());
            send(partner, "/fleet/configuration", content, ignored -> {});
        }
    }

    /**
     * Answers another node's message.
     *
     * @param path path of the message
     * @param body its body
     * @return the answer, or empty if the message is not known or malformed
     */
    Optional<byte[]> answer(String path, byte[] body) {
        try {
            return switch (path) {
                case "/fleet/entries" -> {
                    merge(json.readTree(body), "message");
                    yield Optional.of(bytes(message(List.of(own))));
                }
                case "/fleet/digest" -> Optional.of(bytes(digestAnswer(json.readTree(body))));
                case "/fleet/configuration" -> {
                    if (body.length > 0) {
                        configuration.offer(json.readTree(body), "message");
                    }
                    yield configuration.content().map(this::bytes);
                }
                default -> Optional.empty();
            };
        } catch (IOException e) {
            log.write("malformed_message", "path", path, "cause", e.getMessage());
            return Optional.empty();
        }
    }

    private ObjectNode digestAnswer(JsonNode question) {
        ObjectNode answer =
                question.path("digest").asLong() == directory.digest()
                        ? json.createObjectNode()
                        : message(List.copyOf(directory.nodes()));
        return answer.put("digest", directory.digest()).put("config", configuration.version());
    }

    private void merge(JsonNode message, String source) {
        mergeSuspects(message.path("suspects"));
        for (JsonNode entry : message.path("entries")) {
            NodeEntryCodec.decode(entry)
                    .ifPresentOrElse(
                            this::heard, () -> log.write("entry_unreadable", "source", source));
        }
    }

    private void mergeSuspects(JsonNode reports) {
        for (JsonNode report : reports) {
            suspects.merge(
                    new SuspectRequests.Report(
                            report.path("node").asText(),
                            new RequestFingerprint(report.path("request").asLong()),
                            report.path("crashes").asInt()),
                    System.nanoTime());
        }
    }

    private ObjectNode message(List<NodeEntry> entries) {
        ObjectNode message = json.createObjectNode();
        ArrayNode list = message.putArray("entries");
        entries.forEach(entry -> list.add(NodeEntryCodec.encode(entry)));
        if (!suspects.isEmpty()) {
            ArrayNode reports = message.putArray("suspects");
            for (SuspectRequests.Report report : suspects.reports()) {
                reports.addObject()
                        .put("node", report.node())
                        .put("request", report.request().value())
                        .put("crashes", report.crashes());
            }
        }
        return message;
    }

    private void send(NodeEntry node, String path, byte[] body, Consumer<JsonNode> onReply) {
        calls.send(
                peerAddress(node),
                "POST",
                path,
                body,
                CALL_TIMEOUT_MILLIS,
                result -> {
                    if (result instanceof SmallCalls.Result.Response response
                            && response.status() == 200
                            && response.body().length > 0) {
                        try {
                            onReply.accept(json.readTree(response.body()));
                        } catch (IOException e) {
                            log.write("malformed_reply", "node", node.name(), "path", path);
                        }
                    }
                });
    }

    /** All nodes use the same port for messages. */
    private String peerAddress(NodeEntry node) {
        String host = node.address().substring(0, node.address().lastIndexOf(':'));
        return host + settings.peerListen().substring(settings.peerListen().lastIndexOf(':'));
    }

    private byte[] bytes(JsonNode message) {
        try {
            return json.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException("a JSON tree cannot be written", e);
        }
    }
}
