package org.azureshed.poison;

import io.vavr.collection.HashMap;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Set;
import org.azureshed.model.TargetId;

/**
 * State of {@link PoisonReducer}.
 *
 * <p>There is one entry for each pair of a crash and a request that was in flight. An entry changes
 * only from absent to suspect to cleared, so merging is commutative and idempotent: however often
 * and in whatever order gossip delivers entries, one crash counts once and a cleared entry stays
 * cleared.
 *
 * @param nowMillis time of the last tick
 * @param entries suspect and cleared entries
 * @param provisional requests that lost an attempt ({@link PoisonEvent.AttemptLost}), each with the
 *     time until which it counts as suspect
 * @param crashes recent crashes of the targets that this node hosts, the newest first
 */
public record PoisonState(
        long nowMillis,
        Map<Key, Entry> entries,
        Map<RequestFingerprint, Long> provisional,
        Map<TargetId, List<LocalCrash>> crashes) {
    /** Bounds memory and gossip to 1.2 KB. */
    public static final int MAX_ENTRIES = 64;

    /** Time after which an entry expires. */
    public static final long LIFETIME_MILLIS = 600_000;

    /**
     * A request that was in flight in a crash.
     *
     * @param crashId id of the crash
     * @param fingerprint fingerprint of the request
     */
    public record Key(long crashId, RequestFingerprint fingerprint) {}

    /**
     * State of an entry.
     *
     * @param cleared whether the request has since completed without a crash
     * @param expiresMillis when the entry is removed, on this node's monotonic clock
     */
    public record Entry(boolean cleared, long expiresMillis) {}

    /**
     * A crash of a target that this node hosts.
     *
     * @param crashId id of the crash
     * @param atMillis when it was reported, on this node's monotonic clock
     * @param inFlight requests that the target was processing
     */
    public record LocalCrash(long crashId, long atMillis, Set<RequestFingerprint> inFlight) {
        /** Copies the set. */
        public LocalCrash {
            inFlight = Set.copyOf(inFlight);
        }
    }

    /**
     * State of a node that has just started.
     *
     * @return a state without entries
     */
    public static PoisonState initial() {
        return new PoisonState(0, HashMap.empty(), HashMap.empty(), HashMap.empty());
    }

    /**
     * All entries in the form that gossip sends.
     *
     * @return at most {@link #MAX_ENTRIES} entries
     */
    public java.util.List<SuspectEntry> gossip() {
        java.util.List<SuspectEntry> result = new ArrayList<>();
        entries.forEach(
                (key, entry) ->
                        result.add(
                                new SuspectEntry(
                                        key.fingerprint(),
                                        key.crashId(),
                                        entry.cleared(),
                                        Math.min(
                                                entry.expiresMillis() - nowMillis,
                                                LIFETIME_MILLIS))));
        return result;
    }

    /**
     * The entries that were added or cleared since an earlier state.
     *
     * @param before the earlier state
     * @return the changed entries in the form that gossip sends
     */
    public java.util.List<SuspectEntry> changedSince(PoisonState before) {
        java.util.List<SuspectEntry> changed = new ArrayList<>(gossip());
        changed.removeIf(
                entry ->
                        before.entries
                                .get(new Key(entry.crashId(), entry.fingerprint()))
                                .exists(old -> old.cleared() == entry.cleared()));
        return changed;
    }

    /**
     * The view for the threads that handle requests.
     *
     * @return suspects and the number of their uncleared crashes
     */
    public PoisonView view() {
        java.util.Map<RequestFingerprint, Integer> counts = new java.util.HashMap<>();
        entries.forEach(
                (key, entry) -> {
                    if (!entry.cleared()) {
                        counts.merge(key.fingerprint(), 1, Integer::sum);
                    }
                });
        return new PoisonView(counts, provisional.keySet().toJavaSet());
    }

    PoisonState withEntries(Map<Key, Entry> next) {
        return new PoisonState(nowMillis, next, provisional, crashes);
    }

    PoisonState withProvisional(Map<RequestFingerprint, Long> next) {
        return new PoisonState(nowMillis, entries, next, crashes);
    }

    PoisonState withCrashes(Map<TargetId, List<LocalCrash>> next) {
        return new PoisonState(nowMillis, entries, provisional, next);
    }

    /** Advances the time and removes everything that expired. */
    PoisonState advanceTo(long now) {
        return new PoisonState(
                now,
                entries.filterValues(entry -> entry.expiresMillis() > now),
                provisional.filterValues(until -> until > now),
                crashes.mapValues(
                                list ->
                                        list.filter(
                                                crash -> now - crash.atMillis() < LIFETIME_MILLIS))
                        .filterValues(list -> !list.isEmpty()));
    }

    /**
     * Merges an entry. An existing entry keeps its expiry, so gossip cannot extend its lifetime.
     */
    PoisonState merge(Key key, Entry received) {
        Entry merged =
                entries.get(key)
                        .map(
                                existing ->
                                        new Entry(
                                                existing.cleared() || received.cleared(),
                                                existing.expiresMillis()))
                        .getOrElse(received);
        return withEntries(entries.put(key, merged)).evictExcess();
    }

    /**
     * Evicts an entry if there are too many: cleared entries first, then those of requests with a
     * single crash; among these the one that expires first.
     */
    private PoisonState evictExcess() {
        if (entries.size() <= MAX_ENTRIES) {
            return this;
        }
        java.util.Map<RequestFingerprint, Integer> counts = view().crashes();
        Comparator<Key> evictionOrder =
                Comparator.comparing((Key key) -> !entries.get(key).get().cleared())
                        .thenComparing(key -> counts.getOrDefault(key.fingerprint(), 0) > 1)
                        .thenComparing(key -> entries.get(key).get().expiresMillis())
                        .thenComparing(Key::crashId)
                        .thenComparing(key -> key.fingerprint().value());
        Key evicted = entries.keySet().toJavaStream().min(evictionOrder).orElseThrow();
        return withEntries(entries.remove(evicted));
    }
}
