package org.azureshed.distribution;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.azureshed.control.Step;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;

/** Mutable state and effects while one event is reduced. */
final class DistributionDraft {
    private final NodeId self;
    private final long seed;
    boolean relay;
    Optional<Announcement> latest;
    Optional<List<ContentDigest>> chunks;
    Optional<Announcement> inForce;
    Set<ContentDigest> storedDigests;
    Map<NodeId, Endpoint> sources;
    Map<ContentDigest, Long> fetches;
    Optional<DistributionState.Index> index;
    Optional<ContentDigest> conflict;
    long changedMillis;
    long writtenMillis;
    long nowMillis;
    final SplittableRandom random;
    private final List<DistributionEffect> effects = new ArrayList<>();

    DistributionDraft(DistributionState state, long seed) {
        self = state.self();
        this.seed = seed;
        relay = state.relay();
        latest = state.latest();
        chunks = state.chunks();
        inForce = state.inForce();
        storedDigests = state.storedDigests();
        sources = state.sources();
        fetches = state.fetches();
        index = state.index();
        conflict = state.conflict();
        changedMillis = state.changedMillis();
        writtenMillis = state.writtenMillis();
        nowMillis = state.nowMillis();
        random = new SplittableRandom(seed);
    }

    NodeId self() {
        return self;
    }

    void add(DistributionEffect effect) {
        effects.add(effect);
    }

    /**
     * Starts fetching the preset of a higher activation number. The preset in force stays until all
     * chunks are stored.
     */
    void startActivation(Announcement announcement) {
        latest = Optional.of(announcement);
        chunks = Optional.empty();
        sources = HashMap.empty();
        fetches = HashMap.empty();
        conflict = Optional.empty();
    }

    Set<ContentDigest> needed() {
        Set<ContentDigest> needed = HashSet.of(latest.orElseThrow().manifest());
        return needed.addAll(chunks.orElse(List.of()));
    }

    Step<DistributionState, DistributionEffect> finish() {
        DistributionState state =
                new DistributionState(
                        self,
                        relay,
                        latest,
                        chunks,
                        inForce,
                        storedDigests,
                        sources,
                        fetches,
                        index,
                        conflict,
                        changedMillis,
                        writtenMillis,
                        nowMillis,
                        seed + 0x9e3779b97f4a7c15L);
        return new Step<>(state, effects);
    }
}
