package org.azureshed.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * In-memory store of versioned objects with a bounded history of changes for watches. All objects
 * share one version counter, which every successful write increments.
 */
final class StandInStore {
    private static final int HISTORY_ENTRIES = 10_000;
    private static final byte[] NO_VALUE = {};

    private final Deque<Entry> history = new ArrayDeque<>();
    private Map<String, TreeMap<String, Entry>> objectsByKind = new HashMap<>();
    private Map<String, TreeMap<String, Entry>> snapshotObjects = new HashMap<>();
    private long version;

    /** Lowest version from which a watch can start; the history lacks earlier changes. */
    private long oldestWatchableVersion;

    /** Number of calls of {@link #interruptWatches}; a waiting watch ends when it changes. */
    private long interruptions;

    /** One version of an object, or its deletion, in which case the value is empty. */
    record Entry(String kind, String name, long version, byte[] value, boolean deleted) {}

    /** Objects or changes of a kind, together with the version of the store. */
    record Entries(long version, List<Entry> entries) {}

    /** Result of a conditional write: the entry, or the current version after a conflict. */
    record Write(Optional<Entry> entry, long currentVersion) {}

    synchronized Optional<Entry> get(String kind, String name) {
        return Optional.ofNullable(objectsByKind.getOrDefault(kind, new TreeMap<>()).get(name));
    }

    synchronized Entries list(String kind) {
        List<Entry> entries =
                List.copyOf(objectsByKind.getOrDefault(kind, new TreeMap<>()).values());
        return new Entries(version, entries);
    }

    synchronized Write put(String kind, String name, byte[] value, long ifVersion) {
        long current = get(kind, name).map(Entry::version).orElse(0L);
        if (current != ifVersion) {
            return new Write(Optional.empty(), current);
        }
        Entry entry = new Entry(kind, name, ++version, value, false);
        objectsByKind.computeIfAbsent(kind, absent -> new TreeMap<>()).put(name, entry);
        return appendToHistory(entry);
    }

    synchronized Write delete(String kind, String name, long ifVersion) {
        long current = get(kind, name).map(Entry::version).orElse(0L);
        if (current == 0 || current != ifVersion) {
            return new Write(Optional.empty(), current);
        }
        objectsByKind.get(kind).remove(name);
        return appendToHistory(new Entry(kind, name, ++version, NO_VALUE, true));
    }

    private Write appendToHistory(Entry entry) {
        history.addLast(entry);
        if (history.size() > HISTORY_ENTRIES) {
            oldestWatchableVersion = history.removeFirst().version();
        }
        notifyAll();
        return new Write(Optional.of(entry), entry.version());
    }

    /**
     * Waits for changes of a kind that are newer than the version {@code since}.
     *
     * @return the changes; no changes after the timeout or an interruption; empty if the history
     *     does not reach back to {@code since}, or if the store has not reached that version
     */
    synchronized Optional<Entries> watch(String kind, long since, long timeoutMillis)
            throws InterruptedException {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
        long interruptionsAtStart = interruptions;
        while (true) {
            if (since < oldestWatchableVersion || since > version) {
                return Optional.empty();
            }
            List<Entry> changes = changesSince(kind, since);
            long leftMillis = (deadline - System.nanoTime()) / 1_000_000;
            if (!changes.isEmpty() || leftMillis <= 0 || interruptions != interruptionsAtStart) {
                return Optional.of(new Entries(version, changes));
            }
            wait(leftMillis);
        }
    }

    private List<Entry> changesSince(String kind, long since) {
        List<Entry> changes = new ArrayList<>();
        for (var newest = history.descendingIterator(); newest.hasNext(); ) {
            Entry entry = newest.next();
            if (entry.version() <= since) {
                break;
            }
            if (entry.kind().equals(kind)) {
                changes.addFirst(entry);
            }
        }
        return changes;
    }

    /** Makes all waiting watches return at once. */
    synchronized void interruptWatches() {
        interruptions++;
        notifyAll();
    }

    /** Copies all objects, so that {@link #restore} can return to them. */
    synchronized void snapshot() {
        snapshotObjects = copyOf(objectsByKind);
    }

    /**
     * Restores the objects of the last {@link #snapshot}, or empties the store if there is none.
     * The store's version still increases, since otherwise two different values could get the same
     * version. Clears the history, so all watches have to start from a new listing.
     */
    synchronized void restore() {
        objectsByKind = copyOf(snapshotObjects);
        history.clear();
        oldestWatchableVersion = ++version;
        notifyAll();
    }

    private static Map<String, TreeMap<String, Entry>> copyOf(
            Map<String, TreeMap<String, Entry>> objects) {
        Map<String, TreeMap<String, Entry>> result = new HashMap<>();
        objects.forEach((kind, entries) -> result.put(kind, new TreeMap<>(entries)));
        return result;
    }
}
