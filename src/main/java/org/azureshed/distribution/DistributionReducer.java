package org.azureshed.distribution;

import io.vavr.collection.HashSet;
import java.util.List;
import java.util.Optional;
import org.azureshed.control.Step;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;

/**
 * Decides what a node fetches and when it puts a preset in force. A lower activation number never
 * replaces a higher one, whoever tells it.
 */
public final class DistributionReducer {
    /** A preset of 30,000 routes has some dozens of chunks; more at once only queue up. */
    private static final int MAX_FETCHES = 4;

    /** Each node needs a few peers only; more would only take memory. */
    private static final int MAX_SOURCES = 16;

    /** Longer than the timeouts of a fetch; covers a result that the shell lost. */
    private static final long FETCH_MILLIS = 10_000;

    /**
     * A relay may hear of a change from another relay before its own watch shows it; only a lower
     * number that stays for this long is written over.
     */
    private static final long WRITE_BACK_AFTER_MILLIS = 3_000;

    private static final long WRITE_BACK_INTERVAL_MILLIS = 5_000;

    /** Spreads the attempts of the relays over some seconds, so that most see the first one. */
    private static final int WRITE_BACK_ONE_IN = 4;

    /** Creates a reducer. */
    public DistributionReducer() {}

    /**
     * Reduces one event.
     *
     * @param state the state before the event
     * @param event the event
     * @return the state after it and what has to be carried out
     */
    public Step<DistributionState, DistributionEffect> reduce(
            DistributionState state, DistributionEvent event) {
        long seed = event instanceof DistributionEvent.Due due ? due.seed() : state.seed();
        DistributionDraft draft = new DistributionDraft(state, seed);
        switch (event) {
            case DistributionEvent.Due(long now, long ignored) -> due(draft, now);
            case DistributionEvent.ZoneChanged(List<NodeId> reachable) ->
                    chooseRole(draft, reachable);
            case DistributionEvent.IndexRead(Optional<Announcement> inForce, long version) ->
                    readIndex(draft, inForce, version);
            case DistributionEvent.Heard(
                            NodeId peer,
                            Endpoint endpoint,
                            Announcement announcement) -> {
                learn(draft, announcement, Optional.of(peer));
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
                    draft.held = draft.held.add(digest);
                    draft.chunks = Optional.of(chunks);
                }
            }
            case DistributionEvent.ChunkStored(ContentDigest digest) -> {
                draft.fetches = draft.fetches.remove(digest);
                draft.held = draft.held.add(digest);
            }
            case DistributionEvent.FetchFailed(ContentDigest digest, Optional<NodeId> source) -> {
                draft.fetches = draft.fetches.remove(digest);
                source.ifPresent(peer -> draft.sources = draft.sources.remove(peer));
                if (source.isEmpty()) {
                    // Retried at the next round, because the platform may be overloaded.
                    return draft.finish();
                }
            }
        }
        advance(draft);
        return draft.finish();
    }

    private static void due(DistributionDraft draft, long now) {
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
        inForce.ifPresent(announcement -> learn(draft, announcement, Optional.empty()));
    }

    private static void learn(
            DistributionDraft draft, Announcement announcement, Optional<NodeId> source) {
        long known = draft.latest.map(Announcement::number).orElse(0L);
        if (announcement.number() > known) {
            Announcement heard =
                    new Announcement(announcement.number(), announcement.manifest(), false);
            draft.begin(heard);
            draft.add(new DistributionEffect.Tell(heard));
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

    /** Fetches what is missing; puts the preset in force once nothing is. */
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
        if (!draft.held.containsAll(chunks)) {
            for (ContentDigest chunk : chunks) {
                if (!draft.held.contains(chunk)) {
                    fetch(draft, chunk, false);
                }
            }
            return;
        }
        Announcement complete = new Announcement(latest.number(), latest.manifest(), true);
        draft.latest = Optional.of(complete);
        draft.inForce = Optional.of(complete);
        draft.changedMillis = draft.nowMillis;
        draft.held = HashSet.ofAll(draft.needed());
        draft.add(new DistributionEffect.Activate(latest.number(), latest.manifest(), chunks));
        draft.add(new DistributionEffect.Tell(complete));
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
        // A relay asks peers as well when there are any, in case the platform is away since.
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
