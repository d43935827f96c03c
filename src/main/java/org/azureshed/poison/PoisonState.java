package org.azureshed.poison;

import io.vavr.collection.HashMap;
import io.vavr.collection.List;
import io.vavr.collection.Map;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Set;
import org.azureshed.model.TargetId;

/**
 * State of the poison reducer.
 *
 * <p>An entry exists for each pair of crash and request. It only grows, from absent over suspect to
 * cleared, so entries can be merged in any order and any number of times: one crash counts once,
 * and a cleared entry stays cleared.
 *
 * @param nowMillis time of the last tick
 * @param entries suspects and cleared suspects
 * @param held until when a request is held after its connection broke at this node
 * @param crashes crashes of hosted targets
 */
public record PoisonState(
        long nowMillis,
        Map<Key, Entry> entries,
        Map<RequestFingerprint, Long> held,
        Map<TargetId, List<LocalCrash>> crashes) {
    /** Bounds memory and gossip to 1.2 KB. */
    public static final int MAX_ENTRIES = 64;

    /** Lifetime of an entry. */
    public static final long LIFETIME_MILLIS = 600_000;

    /**
     * A request in a crash.
     *
     * @param crashId the crash
     * @param fingerprint the request
     */
    public record Key(long crashId, RequestFingerprint fingerprint) {}

    /**
     * What is known of it.
     *
     * @param cleared whether the request completed elsewhere since
     * @param expiresMillis when it is forgotten, on this node's clock
     */
    public record Entry(boolean cleared, long expiresMillis) {}

    /**
     * A crash of a hosted target.
     *
     * @param crashId the crash
     * @param atMillis when it was reported
     * @param inFlight requests that were running
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
     * @return the state
     */
    public static PoisonState initial() {
        return new PoisonState(0, HashMap.empty(), HashMap.empty(), HashMap.empty());
    }

    /**
     * The entries that gossip sends.
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
     * The entries that another state lacks or has not cleared.
     *
     * @param before the other state
     * @return the entries, as gossip sends them
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
     * The view for traffic threads.
     *
     * @return suspects and their uncleared crashes
     */
    public PoisonView view() {
        java.util.Map<RequestFingerprint, Integer> counts = new java.util.HashMap<>();
        entries.forEach(
                (key, entry) -> {
                    if (!entry.cleared()) {
                        counts.merge(key.fingerprint(), 1, Integer::sum);
                    }
                });
        return new PoisonView(counts, held.keySet().toJavaSet());
    }

    PoisonState withEntries(Map<Key, Entry> next) {
        return new PoisonState(nowMillis, next, held, crashes);
    }

    PoisonState withHeld(Map<RequestFingerprint, Long> next) {
        return new PoisonState(nowMillis, entries, next, crashes);
    }

    PoisonState withCrashes(Map<TargetId, List<LocalCrash>> next) {
        return new PoisonState(nowMillis, entries, held, next);
    }

    /** Moves the time and drops what expired. */
    PoisonState at(long now) {
        return new PoisonState(
                now,
                entries.filterValues(entry -> entry.expiresMillis() > now),
                held.filterValues(until -> until > now),
                crashes.mapValues(
                                list ->
                                        list.filter(
                                                crash -> now - crash.atMillis() < LIFETIME_MILLIS))
                        .filterValues(list -> !list.isEmpty()));
    }

    /** Merges an entry. The expiry that was known first stays, so that no exchange changes it. */
    PoisonState merge(Key key, Entry heard) {
        Entry merged =
                entries.get(key)
                        .map(
                                own ->
                                        new Entry(
                                                own.cleared() || heard.cleared(),
                                                own.expiresMillis()))
                        .getOrElse(heard);
        return withEntries(entries.put(key, merged)).bounded();
    }

    /**
     * Drops an entry if there are too many: cleared ones first, then requests of a single crash,
     * each the one that expires first.
     */
    private PoisonState bounded() {
        if (entries.size() <= MAX_ENTRIES) {
            return this;
        }
        java.util.Map<RequestFingerprint, Integer> counts = view().crashes();
        Comparator<Key> order =
                Comparator.comparing((Key key) -> !entries.get(key).get().cleared())
                        .thenComparing(key -> counts.getOrDefault(key.fingerprint(), 0) > 1)
                        .thenComparing(key -> entries.get(key).get().expiresMillis())
                        .thenComparing(Key::crashId)
                        .thenComparing(key -> key.fingerprint().value());
        Key dropped = entries.keySet().toJavaStream().min(order).orElseThrow();
        return withEntries(entries.remove(dropped));
    }
}
