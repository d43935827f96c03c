package org.azureshed.sidecar;

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
import org.azureshed.directory.Departures;
import org.azureshed.directory.Directory;
import org.azureshed.directory.NodeEntry;
import org.azureshed.directory.OwnEntry;
import org.azureshed.directory.TargetEntry;
import org.azureshed.dispatch.SuspectRequests;
import org.azureshed.json.JsonSlice;
import org.azureshed.poison.RequestFingerprint;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.telemetry.UnusableEntries;
import org.azureshed.traffic.TrafficEvents;

/**
 * Replicates the directory to all nodes. Each node writes its own entry to the store and then lists
 * the others, so that of two nodes that start together at least one finds the other. A change is
 * broadcast to all known nodes; anti-entropy, a periodic exchange of digests with a random node,
 * repairs lost messages. Runs on one event loop.
 */
final class FleetSync {
    static final String KIND = "azureshed-nodes";

    private static final long GOSSIP_INTERVAL_MILLIS = 1_000;

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

    /** Keeps the writes of a fleet that notices a new era at the same moment below 100 a second. */
    private static final long ERA_SPREAD_PER_NODE_MILLIS = 10;

    /** A lost entry is missed by nodes that start; the largest fleets exceed 100 a second. */
    private static final long MAX_ERA_SPREAD_MILLIS = 5_000;

    /** Time for the reads and writes of the entries before they are listed. */
    private static final long LISTING_AFTER_ERA_MILLIS = 1_000;

    /** Two nodes that are set to the same address by mistake would raise each other endlessly. */
    private static final long MIN_RECLAIM_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SidecarSettings settings;
    private final Directory directory;
    private final SuspectRequests suspects;
    private final FleetStore store;
    private final PeerClient peers;
    private final EventLoop loop;
    private final ConfigurationExchange configuration;
    private final SplittableRandom random;
    private final DecisionLog log;
    private final PeerMessageCodec codec;
    private final UnusableEntries unusable;
    private final StoredNodeEntries storedEntries;
    private final TrafficEvents events;
    private final Backoff listBackoff;
    private final OwnEntryStore ownStore;
    private Consumer<TargetEntry> onPreviousTarget = entry -> {};
    private Consumer<Departures> onDepartures = departures -> {};
    private final OwnEntry own;

    /** Whether other nodes have not been told of the latest change of this node's entry. */
    private boolean announcePending;

    private boolean listed;

    /** Whether the store began a new era during the initial listing. */
    private boolean listAgain;

    /** This node's entry in the listing that is being read. */
    private Optional<NodeEntry> ownInListing = Optional.empty();

    private long lastReclaimNanos = System.nanoTime() - MIN_RECLAIM_NANOS;

    FleetSync(
            SidecarSettings settings,
            long incarnation,
            Directory directory,
            SuspectRequests suspects,
            FleetStore store,
            PeerClient peers,
            EventLoop loop,
            ConfigurationExchange configuration,
            SplittableRandom random,
            PeerMessageCodec codec,
            UnusableEntries unusable,
            TrafficEvents events,
            DecisionLog log) {
        this.settings = settings;
        this.directory = directory;
        this.suspects = suspects;
        this.store = store;
        this.peers = peers;
        this.loop = loop;
        this.configuration = configuration;
        this.random = random;
        this.codec = codec;
        this.unusable = unusable;
        this.storedEntries = new StoredNodeEntries(unusable);
        this.events = events;
        this.log = log;
        this.listBackoff = new Backoff(random.split());
        this.own =
                new OwnEntry(
                        new NodeEntry(
                                settings.node(),
                                settings.availabilityZone(),
                                settings.advertisedHostAddress(),
                                incarnation,
                                0,
                                Optional.empty(),
                                Departures.NONE));
        this.ownStore =
                new OwnEntryStore(
                        store,
                        settings.node(),
                        settings.firstStart(),
                        own::entry,
                        loop,
                        new Backoff(random.split()),
                        log);
    }

    void start() {
        directory.merge(own.entry());
        ownStore.start(this::mergeStored, this::onStored);
        // Digest exchanges also repair broadcasts that a node, this one or another, missed while it
        // restarted.
        loop.schedule(this::gossip, random.nextLong(GOSSIP_INTERVAL_MILLIS), TimeUnit.MILLISECONDS);
        loop.schedule(
                this::listPeriodically,
                LISTING_INTERVAL_MILLIS / 2 + random.nextLong(LISTING_INTERVAL_MILLIS),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Sets the listeners for what this node had published before it restarted.
     *
     * @param target receives the target
     * @param departures receives the acknowledged departures, before the target
     */
    void onPrevious(Consumer<TargetEntry> target, Consumer<Departures> departures) {
        onPreviousTarget = target;
        onDepartures = departures;
    }

    /** Whether the initial listing of the nodes is complete. */
    boolean listed() {
        return listed;
    }

    /**
     * Stores this node's entry again and lists the others, since the store began a new era and may
     * have lost them. The delays spread the calls of a fleet that notices it at the same moment.
     */
    void eraChanged() {
        listAgain = !listed;
        long spreadMillis =
                Math.clamp(
                        directory.nodes().size() * ERA_SPREAD_PER_NODE_MILLIS,
                        1,
                        MAX_ERA_SPREAD_MILLIS);
        long delayMillis = random.nextLong(spreadMillis);
        loop.schedule(
                events.guarded("store_again", ownStore::storeAgain),
                delayMillis,
                TimeUnit.MILLISECONDS);
        // Finds nodes that started meanwhile and found nobody.
        loop.schedule(
                () -> store.list(KIND, "", false, result -> onListing(result, "", true)),
                spreadMillis + delayMillis + LISTING_AFTER_ERA_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Broadcasts a change of the local target, and stores it unless it is transient. */
    void targetChanged(Optional<TargetEntry> target) {
        own.setTarget(target);
        announce();
        Optional<TargetEntry> storedTarget = ownStore.stored().flatMap(NodeEntry::target);
        if (!storedTarget
                .map(FleetSync::withoutTransientCondition)
                .equals(target.map(FleetSync::withoutTransientCondition))) {
            ownStore.entryChanged();
        }
    }

    /**
     * Adds departures to this node's entry and stores them. The other nodes learn of them with the
     * next change of the target, or by {@link #announceChanges()}.
     */
    void departuresAcknowledged(Departures departures) {
        if (own.addDepartures(departures)) {
            directory.merge(own.entry());
            announcePending = true;
            ownStore.entryChanged();
        }
    }

    /** Broadcasts changes of this node's entry that have not been broadcast yet. */
    void announceChanges() {
        if (announcePending) {
            announce();
        }
    }

    /** Reports to all nodes a request that was running when the local target crashed. */
    void requestCrashedTarget(RequestFingerprint request) {
        suspects.crashed(settings.node(), request, System.nanoTime());
        log.write("request_suspected", "request", Long.toHexString(request.value()));
        announce();
    }

    /** Runs a task once the current entry of this node is stored; at once if it already is. */
    void whenStored(Runnable task) {
        ownStore.whenStored(task);
    }

    /** Whether it is known what the former process of this node has stored. */
    boolean formerEntryKnown() {
        return ownStore.formerKnown();
    }

    /**
     * Replaces a usable condition by {@link Condition#SERVING}. The other usable conditions last
     * only seconds, so a change between them is not worth a write to the store.
     */
    private static TargetEntry withoutTransientCondition(TargetEntry target) {
        return target.condition().usable() ? target.withCondition(Condition.SERVING) : target;
    }

    private void announce() {
        announcePending = false;
        directory.merge(own.entry());
        byte[] body = codec.bytes(message(List.of(own.entry())));
        for (NodeEntry node : directory.nodes()) {
            if (!isOwn(node)) {
                peers.send(node, "/fleet/entries", body, reply -> merge(reply, node.name()));
            }
        }
    }

    /** Skips new nodes without a target, which others learn of later, with it or by digests. */
    private void announceStart() {
        if (!settings.firstStart() || own.entry().target().isPresent()) {
            announce();
        }
    }

    private void list(String after) {
        store.list(
                KIND,
                after,
                false,
                result -> {
                    try {
                        onListing(result, after, false);
                    } catch (RuntimeException e) {
                        events.unexpected("node_listing", e);
                        loop.schedule(() -> list(after), listBackoff.next(), TimeUnit.MILLISECONDS);
                    }
                });
    }

    private void onStored() {
        listBackoff.reset();
        if (!listed) {
            list("");
        }
    }

    private void listPeriodically() {
        store.list(KIND, "", true, result -> onListing(result, "", true));
        loop.schedule(this::listPeriodically, LISTING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void onListing(FleetStore.Result result, String after, boolean stale) {
        if (!(result instanceof FleetStore.Result.Done done)) {
            log.write("node_listing_failed", "result", result);
            if (!stale) {
                loop.schedule(() -> list(after), listBackoff.next(), TimeUnit.MILLISECONDS);
            }
            return;
        }
        if (after.isEmpty()) {
            ownInListing = Optional.empty();
        }
        boolean changed = mergeStored(done);
        // A page that does not advance would be read forever.
        if (done.next().filter(name -> name.compareTo(after) > 0).isPresent()) {
            String next = done.next().get();
            store.list(KIND, next, stale, page -> onListing(page, next, stale));
            return;
        }
        if (ownStore.lost(ownInListing, System.nanoTime())) {
            log.write("entry_lost", "listed", ownInListing.isPresent());
            ownStore.storeAgain();
        }
        if (listAgain && !stale) {
            listAgain = false;
            list("");
        } else if (!listed) {
            listed = true;
            log.write("nodes_listed", "nodes", directory.nodes().size());
            announceStart();
        } else if (changed) {
            log.write("nodes_found_by_listing", "nodes", directory.nodes().size());
        }
    }

    /** Merges the entries of a store response; returns whether one of another node changed. */
    private boolean mergeStored(FleetStore.Result.Done done) {
        boolean changed = false;
        for (NodeEntry entry : storedEntries.decode(done)) {
            if (isOwn(entry)) {
                ownInListing = Optional.of(entry);
            }
            changed |= mergeEntry(entry);
        }
        return changed;
    }

    /**
     * Merges an entry into the directory. An entry of an earlier process of this node that would
     * supersede the current one makes the node choose a higher incarnation. Returns whether an
     * entry of another node changed.
     */
    private boolean mergeEntry(NodeEntry entry) {
        if (!isOwn(entry)) {
            NodeEntry current = own.entry();
            if (entry.address().equals(current.address())
                    && entry.incarnation() >= current.incarnation()) {
                reclaimAddress(entry);
            }
            return directory.merge(entry);
        }
        OwnEntry.News news = own.compare(entry);
        if (!news.departures().equals(Departures.NONE)) {
            log.write("departures_restored", "departures", news.departures().lastStarts());
            onDepartures.accept(news.departures());
        }
        if (!listed) {
            news.previousTarget().ifPresent(onPreviousTarget);
        }
        if (news.superseding()) {
            raiseIncarnationAbove(entry);
        }
        return false;
    }

    private boolean isOwn(NodeEntry entry) {
        return entry.name().equals(settings.node());
    }

    /**
     * Answers the claim of another name to this node's address, which no other node can have: the
     * address belongs to the entry with the highest incarnation.
     */
    private void reclaimAddress(NodeEntry claim) {
        long now = System.nanoTime();
        if (now - lastReclaimNanos >= MIN_RECLAIM_NANOS) {
            lastReclaimNanos = now;
            log.write("address_claimed", "by", claim.name(), "address", claim.address());
            raiseIncarnationAbove(claim);
        }
    }

    private void raiseIncarnationAbove(NodeEntry entry) {
        long before = own.entry().incarnation();
        own.raiseAbove(entry);
        log.write("incarnation_raised", "from", before, "to", own.entry().incarnation());
        announce();
        ownStore.entryChanged();
    }

    private void gossip() {
        loop.schedule(this::gossip, GOSSIP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        List<NodeEntry> candidates = candidates(random.nextDouble() < LOCAL_GOSSIP_FRACTION);
        if (candidates.isEmpty()) {
            return;
        }
        NodeEntry partner = candidates.get(random.nextInt(candidates.size()));
        ObjectNode digest = codec.object();
        digest.put("digest", directory.digest()).put("config", configuration.version());
        peers.send(
                partner,
                "/fleet/digest",
                codec.bytes(digest),
                reply -> onDigestReply(partner, reply));
    }

    /** Returns the other nodes; those of the zone only if that is asked for and there are any. */
    private List<NodeEntry> candidates(boolean sameZoneOnly) {
        List<NodeEntry> sameZone = new ArrayList<>();
        List<NodeEntry> all = new ArrayList<>();
        for (NodeEntry node : directory.nodes()) {
            if (!isOwn(node)) {
                all.add(node);
                if (node.availabilityZone().equals(settings.availabilityZone())) {
                    sameZone.add(node);
                }
            }
        }
        return sameZoneOnly && !sameZone.isEmpty() ? sameZone : all;
    }

    private void onDigestReply(NodeEntry partner, JsonSlice reply) throws IOException {
        if (reply.member("entries").isPresent()) {
            merge(reply, partner.name());
            if (directory.digest() != codec.number(reply, "digest")) {
                byte[] all = codec.bytes(message(List.copyOf(directory.nodes())));
                peers.send(partner, "/fleet/entries", all, merged -> merge(merged, partner.name()));
            }
        }
        configuration.compare(partner, codec.number(reply, "config"));
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
                case "/fleet/entries" ->
                        Optional.of(codec.bytes(message(replyTo(JsonSlice.of(body)))));
                case "/fleet/digest" ->
                        Optional.of(
                                codec.bytes(
                                        digestReply(codec.number(JsonSlice.of(body), "digest"))));
                default -> configuration.handleMessage(path, body);
            };
        } catch (IOException e) {
            unusable.report(path, "message", e.getMessage());
            return Optional.empty();
        }
    }

    /**
     * Merges received entries.
     *
     * @return this node's entry, and those of the received ones for which this node knows more
     *     departures than the sender
     */
    private List<NodeEntry> replyTo(JsonSlice message) throws IOException {
        List<NodeEntry> reply = new ArrayList<>();
        reply.add(own.entry());
        for (NodeEntry received : merge(message, "message")) {
            directory
                    .node(received.name())
                    .filter(known -> !received.departures().containsAll(known.departures()))
                    .filter(known -> !isOwn(known))
                    .ifPresent(reply::add);
        }
        return reply;
    }

    /** Merges the entries and suspect requests of a message, and returns its entries. */
    private List<NodeEntry> merge(JsonSlice message, String source) throws IOException {
        codec.suspects(message, source)
                .forEach(report -> suspects.merge(report, System.nanoTime()));
        List<NodeEntry> entries = codec.entries(message, source);
        entries.forEach(this::mergeEntry);
        return entries;
    }

    private ObjectNode message(List<NodeEntry> entries) {
        return codec.message(entries, suspects);
    }

    private ObjectNode digestReply(long digest) {
        ObjectNode reply =
                digest == directory.digest()
                        ? codec.object()
                        : message(List.copyOf(directory.nodes()));
        return reply.put("digest", directory.digest()).put("config", configuration.version());
    }
}
