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
import org.azureshed.traffic.ControlClient;

/**
 * Replicates the directory to all nodes. Each node writes its own entry to the store and then lists
 * the others, so that of two nodes that start together at least one finds the other. A change is
 * broadcast to all known nodes; anti-entropy, a periodic exchange of digests with a random node,
 * repairs lost messages. Runs on one event loop.
 */
final class FleetSync {
    static final String KIND = "azureshed-nodes";

    private static final long GOSSIP_INTERVAL_MILLIS = 1_000;
    private static final long CALL_TIMEOUT_MILLIS = 700;

    /**
     * Fraction of digest exchanges with a node of this node's availability zone, where traffic is
     * free. The others choose among all nodes, those of the zone included.
     */
    private static final double LOCAL_GOSSIP_FRACTION = 0.75;

    /**
     * Interval of listings that allow stale data, which cost less. They find nodes that are missing
     * from the directories of all nodes known to this one.
     */
    private static final long LISTING_INTERVAL_MILLIS = 8_000;

    private static final byte[] EMPTY_BODY = {};

    private final SidecarSettings settings;
    private final Directory directory;
    private final SuspectRequests suspects;
    private final FleetStore store;
    private final ControlClient client;
    private final EventLoop loop;
    private final ConfigurationHolder configuration;
    private final SplittableRandom random;
    private final DecisionLog log;
    private final ObjectMapper json;
    private final Backoff writeBackoff;
    private final List<Runnable> afterWrite = new ArrayList<>();
    private Consumer<TargetEntry> onPreviousTarget = entry -> {};
    private NodeEntry own;
    private Optional<TargetEntry> storedTarget = Optional.empty();
    private boolean ownObjectExists;
    private boolean writing;
    private boolean writePending;
    private boolean listed;

    FleetSync(
            SidecarSettings settings,
            long incarnation,
            Directory directory,
            SuspectRequests suspects,
            FleetStore store,
            ControlClient client,
            EventLoop loop,
            ConfigurationHolder configuration,
            SplittableRandom random,
            ObjectMapper json,
            DecisionLog log) {
        this.settings = settings;
        this.directory = directory;
        this.suspects = suspects;
        this.store = store;
        this.client = client;
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
        // After an earlier run the store has an object to replace; a first start must create it.
        this.ownObjectExists = !settings.firstStart();
    }

    void start() {
        directory.merge(own);
        writePending = true;
        write();
        // Digest exchanges also repair broadcasts that a node, this one or another, missed while it
        // restarted.
        loop.schedule(this::gossip, random.nextLong(GOSSIP_INTERVAL_MILLIS), TimeUnit.MILLISECONDS);
        loop.schedule(
                this::listPeriodically,
                LISTING_INTERVAL_MILLIS / 2 + random.nextLong(LISTING_INTERVAL_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    /** Sets the listener for the target that this node had published before it restarted. */
    void onPreviousTarget(Consumer<TargetEntry> listener) {
        onPreviousTarget = listener;
    }

    /** Whether the initial listing of the nodes is complete. */
    boolean listed() {
        return listed;
    }

    /** Broadcasts a change of the local target, and stores it unless it is transient. */
    void targetChanged(Optional<TargetEntry> target) {
        update(own.incarnation(), target);
        if (!storedTarget
                .map(FleetSync::withoutTransientCondition)
                .equals(target.map(FleetSync::withoutTransientCondition))) {
            writePending = true;
            write();
        }
    }

    /** Reports to all nodes a request that was running when the local target crashed. */
    void requestCrashedTarget(RequestFingerprint request) {
        suspects.crashed(own.name(), request, System.nanoTime());
        log.write("request_suspected", "request", Long.toHexString(request.value()));
        announce();
    }

    /** Runs a task once the current entry of this node is stored; at once if it already is. */
    void whenStored(Runnable task) {
        if (!writing && !writePending) {
            task.run();
        } else {
            afterWrite.add(task);
        }
    }

    /**
     * Replaces a usable condition by {@link Condition#SERVING}. The other usable conditions last
     * only seconds, so a change between them is not worth a write to the store.
     */
    private static TargetEntry withoutTransientCondition(TargetEntry target) {
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
        if (writing || !writePending) {
            return;
        }
        writing = true;
        writePending = false;
        NodeEntry written = own;
        Consumer<FleetStore.Result> done = result -> onWritten(written, result);
        if (ownObjectExists) {
            store.replace(KIND, own.name(), NodeEntryCodec.encode(written), done);
        } else {
            store.create(KIND, own.name(), NodeEntryCodec.encode(written), done);
        }
    }

    private void onWritten(NodeEntry written, FleetStore.Result result) {
        writing = false;
        switch (result) {
            case FleetStore.Result.Done ignored -> {
                ownObjectExists = true;
                storedTarget = written.target();
                writeBackoff.reset();
                if (!listed) {
                    list("");
                }
            }
            case FleetStore.Result.Missing ignored -> {
                ownObjectExists = false;
                writePending = true;
            }
            case FleetStore.Result.Conflict ignored -> {
                ownObjectExists = true;
                writePending = true;
            }
            default -> {
                log.write("entry_write_failed", "result", result);
                writePending = true;
                loop.schedule(this::write, writeBackoff.next(), TimeUnit.MILLISECONDS);
                return;
            }
        }
        if (writePending) {
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

    private void listPeriodically() {
        store.list(KIND, "", true, result -> onListing(result, "", true));
        loop.schedule(this::listPeriodically, LISTING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
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
                changed |= mergeEntry(entry.get());
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

    /**
     * Merges an entry into the directory. An entry of an earlier process of this node that would
     * supersede the current one makes the node choose a higher incarnation. Returns whether an
     * entry of another node changed.
     */
    private boolean mergeEntry(NodeEntry entry) {
        if (!entry.name().equals(own.name())) {
            return directory.merge(entry);
        }
        if (entry.incarnation() == own.incarnation() && entry.revision() <= own.revision()) {
            return false;
        }
        if (entry.address().equals(own.address()) && !listed) {
            entry.target().ifPresent(onPreviousTarget);
        }
        if (entry.supersedes(own)) {
            log.write("incarnation_raised", "from", own.incarnation(), "to", entry.incarnation());
            update(entry.incarnation() + 1, own.target());
            writePending = true;
            write();
        }
        return false;
    }

    private void gossip() {
        loop.schedule(this::gossip, GOSSIP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        List<NodeEntry> peers = peers(random.nextDouble() < LOCAL_GOSSIP_FRACTION);
        if (peers.isEmpty()) {
            return;
        }
        NodeEntry partner = peers.get(random.nextInt(peers.size()));
        ObjectNode digest = json.createObjectNode();
        digest.put("digest", directory.digest()).put("config", configuration.version());
        send(partner, "/fleet/digest", bytes(digest), reply -> onDigestReply(partner, reply));
    }

    /** Returns the other nodes; those of the zone only if that is asked for and there are any. */
    private List<NodeEntry> peers(boolean sameZoneOnly) {
        List<NodeEntry> sameZone = new ArrayList<>();
        List<NodeEntry> all = new ArrayList<>();
        for (NodeEntry node : directory.nodes()) {
            if (!node.name().equals(own.name())) {
                all.add(node);
                if (node.availabilityZone().equals(own.availabilityZone())) {
                    sameZone.add(node);
                }
            }
        }
        return sameZoneOnly && !sameZone.isEmpty() ? sameZone : all;
    }

    private void onDigestReply(NodeEntry partner, JsonNode reply) {
        if (reply.has("entries")) {
            merge(reply, partner.name());
            if (directory.digest() != reply.path("digest").asLong()) {
                byte[] all = bytes(message(List.copyOf(directory.nodes())));
                send(partner, "/fleet/entries", all, merged -> merge(merged, partner.name()));
            }
        }
        long partnerVersion = reply.path("config").asLong();
        if (partnerVersion > configuration.version()) {
            send(
                    partner,
                    "/fleet/configuration",
                    EMPTY_BODY,
                    content -> configuration.applyIfNewer(content, partner.name()));
        } else if (partnerVersion < configuration.version()
                && configuration.content().isPresent()) {
            byte[] content = bytes(configuration.content().get());
            send(partner, "/fleet/configuration", content, ignored -> {});
        }
    }

    /**
     * Handles a message of another node.
     *
     * @param path path of the message
     * @param body JSON body; empty for none
     * @return the reply, or empty if the path is unknown, the message is malformed or there is no
     *     configuration to send
     */
    Optional<byte[]> handleMessage(String path, byte[] body) {
        try {
            return switch (path) {
                case "/fleet/entries" -> {
                    merge(json.readTree(body), "message");
                    yield Optional.of(bytes(message(List.of(own))));
                }
                case "/fleet/digest" -> Optional.of(bytes(digestReply(json.readTree(body))));
                case "/fleet/configuration" -> {
                    if (body.length > 0) {
                        configuration.applyIfNewer(json.readTree(body), "message");
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

    private ObjectNode digestReply(JsonNode request) {
        ObjectNode reply =
                request.path("digest").asLong() == directory.digest()
                        ? json.createObjectNode()
                        : message(List.copyOf(directory.nodes()));
        return reply.put("digest", directory.digest()).put("config", configuration.version());
    }

    private void merge(JsonNode message, String source) {
        mergeSuspects(message.path("suspects"));
        for (JsonNode entry : message.path("entries")) {
            NodeEntryCodec.decode(entry)
                    .ifPresentOrElse(
                            this::mergeEntry,
                            () -> log.write("entry_unreadable", "source", source));
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
        client.send(
                peerAddress(node),
                "POST",
                path,
                body,
                CALL_TIMEOUT_MILLIS,
                result -> {
                    if (result instanceof ControlClient.Result.Response response
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

    /**
     * Returns the address to which messages to a node are sent. All nodes receive messages on the
     * same port.
     */
    private String peerAddress(NodeEntry node) {
        String host = node.address().substring(0, node.address().lastIndexOf(':'));
        return host + settings.peerListen().substring(settings.peerListen().lastIndexOf(':'));
    }

    private byte[] bytes(JsonNode message) {
        try {
            return json.writeValueAsBytes(message);
        } catch (IOException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }
}
