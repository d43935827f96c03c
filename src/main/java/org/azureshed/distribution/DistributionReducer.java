package org.azureshed.distribution;

import io.vavr.collection.HashSet;
import java.util.List;
import java.util.Optional;
import org.azureshed.control.Step;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;

/**
 * Decides what a node fetches and when it puts a preset in force. A lower activation number never
 * replaces a higher one, whatever its source.
 */
public final class DistributionReducer {
    /**
     * A preset of 30,000 routes has some dozens of chunks; more fetches at once would only be
     * queued.
     */
    private static final int MAX_FETCHES = 4;

    /** A node needs only a few sources; more would waste memory. */
    private static final int MAX_SOURCES = 16;

    /**
     * Time after which a fetch without a result is retried; longer than the timeouts of a fetch.
     */
    private static final long FETCH_MILLIS = 10_000;

    /**
     * Time for which the platform must show a lower number before it is overwritten. A relay may
     * receive a change from another relay before its own watch reports it.
     */
    private static final long WRITE_BACK_AFTER_MILLIS = 3_000;

    private static final long WRITE_BACK_INTERVAL_MILLIS = 5_000;

    /**
     * In each tick a relay tries with a chance of one in this number. This spreads the attempts of
     * the relays over some seconds, so that most relays see the first write and skip theirs.
     */
    private static final int WRITE_BACK_ONE_IN = 4;

    /** Creates a reducer. */
    public DistributionReducer() {}

    /**
     * Reduces one event.
     *
     * @param state the state before the event
     * @param event the event
     * @return the state after the event and the effects to carry out
     */
    public Step<DistributionState, DistributionEffect> reduce(
            DistributionState state, DistributionEvent event) {
        long seed = event instanceof DistributionEvent.Tick tick ? tick.seed() : state.seed();
        DistributionDraft draft = new DistributionDraft(state, seed);
        switch (event) {
            case DistributionEvent.Tick(long now, long ignored) -> tick(draft, now);
            case DistributionEvent.ZoneChanged(List<NodeId> reachable) ->
                    chooseRole(draft, reachable);
            case DistributionEvent.IndexRead(Optional<Announcement> inForce, long version) ->
                    readIndex(draft, inForce, version);
            case DistributionEvent.AnnouncementReceived(
                            NodeId peer,
                            Endpoint endpoint,
                            Announcement announcement) -> {
                receiveAnnouncement(draft, announcement, Optional.of(peer));
                boolean same = draft.latest.get().manifest().equals(announcement.manifest());
                if (same
                        && announcement.complete()
                        && announcement.number() == draft.latest.get().number()
                        && draft.sources.size() < MAX_SOURCES) {
                    draft.sources = draft.sources.put(peer, endpoint);
                }
            }
            case DistributionEvent.ManifestStored(
                            ContentDigest digest,
                            List<ContentDigest> chunks) -> {
                draft.fetches = draft.fetches.remove(digest);
                boolean wanted = draft.latest.filter(l -> l.manifest().equals(digest)).isPresent();
                if (wanted) {
                    draft.storedDigests = draft.storedDigests.add(digest);
                    draft.chunks = Optional.of(chunks);
                }
            }
            case DistributionEvent.ChunkStored(ContentDigest digest) -> {
                draft.fetches = draft.fetches.remove(digest);
                draft.storedDigests = draft.storedDigests.add(digest);
            }
            case DistributionEvent.FetchFailed(ContentDigest digest, Optional<NodeId> source) -> {
                draft.fetches = draft.fetches.remove(digest);
                source.ifPresent(peer -> draft.sources = draft.sources.remove(peer));
                if (source.isEmpty()) {
                    // Retries after the next event, not immediately, because the platform may be
                    // overloaded.
                    return draft.finish();
                }
            }
        }
        advance(draft);
        return draft.finish();
    }

    private static void tick(DistributionDraft draft, long now) {
        draft.nowMillis = now;
        draft.fetches = draft.fetches.filterValues(started -> now - started < FETCH_MILLIS);
        boolean lower =
                draft.index
                        .filter(index -> draft.inForce.isPresent())
                        .filter(index -> index.number() < draft.inForce.get().number())
                        .filter(index -> now - index.readMillis() >= WRITE_BACK_AFTER_MILLIS)
                        .isPresent();
        if (lower
                && draft.relay
                && draft.inForce.get().number() == draft.latest.get().number()
                && now - draft.changedMillis >= WRITE_BACK_AFTER_MILLIS
                && now - draft.writtenMillis >= WRITE_BACK_INTERVAL_MILLIS
                && draft.random.nextInt(WRITE_BACK_ONE_IN) == 0) {
            draft.writtenMillis = now;
            draft.add(
                    new DistributionEffect.WriteBack(
                            draft.inForce.get().number(),
                            draft.inForce.get().manifest(),
                            draft.chunks.orElseThrow(),
                            draft.index.get().objectVersion()));
        }
    }

    private static void chooseRole(DistributionDraft draft, List<NodeId> reachable) {
        boolean relay = Relays.isRelay(draft.self(), reachable);
        if (relay != draft.relay) {
            draft.relay = relay;
            draft.index = Optional.empty();
            draft.add(new DistributionEffect.WatchIndex(relay));
        }
    }

    private static void readIndex(
            DistributionDraft draft, Optional<Announcement> inForce, long version) {
        long number = inForce.map(Announcement::number).orElse(0L);
        draft.index = Optional.of(new DistributionState.Index(number, version, draft.nowMillis));
        inForce.ifPresent(
                announcement -> receiveAnnouncement(draft, announcement, Optional.empty()));
    }

    private static void receiveAnnouncement(
            DistributionDraft draft, Announcement announcement, Optional<NodeId> source) {
        long known = draft.latest.map(Announcement::number).orElse(0L);
        if (announcement.number() > known) {
            Announcement received =
                    new Announcement(announcement.number(), announcement.manifest(), false);
            draft.startActivation(received);
            draft.add(new DistributionEffect.Announce(received));
        } else if (announcement.number() == known) {
            Announcement latest = draft.latest.get();
            boolean reported = draft.conflict.equals(Optional.of(announcement.manifest()));
            if (!latest.manifest().equals(announcement.manifest()) && !reported) {
                draft.conflict = Optional.of(announcement.manifest());
                draft.add(
                        new DistributionEffect.ReportConflict(
                                known, latest.manifest(), announcement.manifest(), source));
            }
        }
    }

    /** Fetches missing contents, or puts the latest preset in force once all are stored. */
    private static void advance(DistributionDraft draft) {
        if (draft.latest.isEmpty()
                || draft.inForce.map(Announcement::number).orElse(0L)
                        >= draft.latest.get().number()) {
            return;
        }
        Announcement latest = draft.latest.get();
        if (draft.chunks.isEmpty()) {
            fetch(draft, latest.manifest(), true);
            return;
        }
        List<ContentDigest> chunks = draft.chunks.get();
        if (!draft.storedDigests.containsAll(chunks)) {
            for (ContentDigest chunk : chunks) {
                if (!draft.storedDigests.contains(chunk)) {
                    fetch(draft, chunk, false);
                }
            }
            return;
        }
        Announcement complete = new Announcement(latest.number(), latest.manifest(), true);
        draft.latest = Optional.of(complete);
        draft.inForce = Optional.of(complete);
        draft.changedMillis = draft.nowMillis;
        draft.storedDigests = HashSet.ofAll(draft.needed());
        draft.add(new DistributionEffect.Activate(latest.number(), latest.manifest(), chunks));
        draft.add(new DistributionEffect.Announce(complete));
        draft.add(new DistributionEffect.Retain(draft.needed().toJavaSet()));
    }

    private static void fetch(DistributionDraft draft, ContentDigest digest, boolean manifest) {
        if (draft.fetches.size() >= MAX_FETCHES || draft.fetches.containsKey(digest)) {
            return;
        }
        boolean onPlatform =
                draft.index
                        .filter(index -> index.number() == draft.latest.get().number())
                        .isPresent();
        // A relay also fetches from peers, because the platform may have become unavailable.
        boolean usePlatform = onPlatform && (draft.sources.isEmpty() || draft.random.nextBoolean());
        if (draft.relay && usePlatform) {
            draft.add(new DistributionEffect.FetchFromPlatform(digest, manifest));
        } else if (!draft.sources.isEmpty()) {
            var source = draft.sources.toList().get(draft.random.nextInt(draft.sources.size()));
            draft.add(new DistributionEffect.FetchFromPeer(source._1, source._2, digest, manifest));
        } else {
            return;
        }
        draft.fetches = draft.fetches.put(digest, draft.nowMillis);
    }
}
