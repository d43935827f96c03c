package org.azureshed.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Versioned objects in memory, with a bounded history of changes for watches. */
final class StandInStore {
    private static final int HISTORY_ENTRIES = 10_000;
    private static final byte[] NO_VALUE = {};

    private final Deque<Entry> history = new ArrayDeque<>();
    private Map<String, TreeMap<String, Entry>> kinds = new HashMap<>();
    private Map<String, TreeMap<String, Entry>> copy = new HashMap<>();
    private long version;
    private long oldestWatchable;
    private long interruptions;

    /** One version of an object. */
    record Entry(String kind, String name, long version, byte[] value, boolean deleted) {}

    /** Entries of a kind together with the version of the store. */
    record Entries(long version, List<Entry> entries) {}

    /** Result of a conditional write: the entry, or the current version after a conflict. */
    record Write(Optional<Entry> entry, long currentVersion) {}

    synchronized Optional<Entry> get(String kind, String name) {
        return Optional.ofNullable(kinds.getOrDefault(kind, new TreeMap<>()).get(name));
    }

    synchronized Entries list(String kind) {
        List<Entry> entries = List.copyOf(kinds.getOrDefault(kind, new TreeMap<>()).values());
        return new Entries(version, entries);
    }

    synchronized Write put(String kind, String name, byte[] value, long ifVersion) {
        long current = get(kind, name).map(Entry::version).orElse(0L);
        if (current != ifVersion) {
            return new Write(Optional.empty(), current);
        }
        Entry entry = new Entry(kind, name, ++version, value, false);
        kinds.computeIfAbsent(kind, absent -> new TreeMap<>()).put(name, entry);
        return record(entry);
    }

    synchronized Write delete(String kind, String name, long ifVersion) {
        long current = get(kind, name).map(Entry::version).orElse(0L);
        if (current == 0 || current != ifVersion) {
            return new Write(Optional.empty(), current);
        }
        kinds.get(kind).remove(name);
        return record(new Entry(kind, name, ++version, NO_VALUE, true));
    }

    private Write record(Entry entry) {
        history.addLast(entry);
        if (history.size() > HISTORY_ENTRIES) {
            oldestWatchable = history.removeFirst().version();
        }
        notifyAll();
        return new Write(Optional.of(entry), entry.version());
    }

    /**
     * Waits for changes of a kind.
     *
     * @return the changes, none after the timeout, or empty if the history does not reach back to
     *     {@code since}
     */
    synchronized Optional<Entries> watch(String kind, long since, long timeoutMillis)
            throws InterruptedException {
        long deadline = System.nanoTime() + timeoutMillis * 1_000_000;
        long interruptionsAtStart = interruptions;
        while (true) {
            if (since < oldestWatchable || since > version) {
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

    /** Ends all waiting watches. */
    synchronized void interruptWatches() {
        interruptions++;
        notifyAll();
    }

    /** Keeps a copy of all objects for {@link #restore}. */
    synchronized void snapshot() {
        copy = copyOf(kinds);
    }

    /**
     * Goes back to the objects of the last {@link #snapshot}, or to an empty store. The store's
     * version keeps growing, so that no version is given to two different values; all watches have
     * to start from a new listing.
     */
    synchronized void restore() {
        kinds = copyOf(copy);
        history.clear();
        oldestWatchable = ++version;
        notifyAll();
    }

    private static Map<String, TreeMap<String, Entry>> copyOf(
            Map<String, TreeMap<String, Entry>> objects) {
        Map<String, TreeMap<String, Entry>> result = new HashMap<>();
        objects.forEach((kind, entries) -> result.put(kind, new TreeMap<>(entries)));
        return result;
    }
}
