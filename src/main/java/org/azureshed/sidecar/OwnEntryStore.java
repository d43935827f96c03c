package org.azureshed.sidecar;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.azureshed.directory.NodeEntry;
import org.azureshed.telemetry.DecisionLog;

/**
 * Keeps this node's entry in the store up to date, with one write at a time. After a restart it
 * reads what the former process stored before it replaces it: only that entry may tell which
 * targets have departed. Each write names the revision that it replaces, so that one that is done
 * late, of this process or of a former one, cannot replace a newer one. Runs on the node's event
 * loop.
 */
final class OwnEntryStore {
    /** Listings that allow stale data may be some seconds old. */
    private static final long MAX_STALENESS_NANOS = TimeUnit.SECONDS.toNanos(15);

    private final FleetStore store;
    private final String name;
    private final Supplier<NodeEntry> current;
    private final EventLoop loop;
    private final Backoff backoff;
    private final DecisionLog log;
    private final List<Runnable> afterWrite = new ArrayList<>();
    private Consumer<FleetStore.Result.Done> onFound = found -> {};
    private Runnable onStored = () -> {};
    private Optional<NodeEntry> stored = Optional.empty();

    /** Whether the former entry was read, or there is none. */
    private boolean formerKnown;

    private StoredObject object;
    private boolean writing;
    private boolean writePending;

    /** Grows when what is known of the store became void; a write from before tells nothing. */
    private int generation;

    private long lastWrittenNanos;

    /** What is known of the object in the store. */
    private sealed interface StoredObject {
        /** It must be read before it can be replaced. */
        record Unknown() implements StoredObject {}

        /** It has to be created. */
        record Absent() implements StoredObject {}

        /**
         * It exists.
         *
         * @param revision revision of its last known change
         */
        record Present(long revision) implements StoredObject {}
    }

    /**
     * Creates a writer.
     *
     * @param store the platform's store
     * @param name name of the node
     * @param firstStart whether no earlier process can have stored an entry
     * @param current supplies the entry to store
     * @param loop event loop of the node
     * @param backoff delays between failed calls
     * @param log receives failed calls
     */
    OwnEntryStore(
            FleetStore store,
            String name,
            boolean firstStart,
            Supplier<NodeEntry> current,
            EventLoop loop,
            Backoff backoff,
            DecisionLog log) {
        this.store = store;
        this.name = name;
        this.current = current;
        this.loop = loop;
        this.backoff = backoff;
        this.log = log;
        this.formerKnown = firstStart;
        this.object = firstStart ? new StoredObject.Absent() : new StoredObject.Unknown();
    }

    /**
     * Starts storing the entry.
     *
     * @param foundListener receives an entry that this process has not written, usually that of the
     *     former process; what it changes in the current entry is part of the next write
     * @param storedListener runs after each write
     */
    void start(Consumer<FleetStore.Result.Done> foundListener, Runnable storedListener) {
        onFound = foundListener;
        onStored = storedListener;
        entryChanged();
    }

    /** Whether the former entry was read, or there is none. */
    boolean formerKnown() {
        return formerKnown;
    }

    /** Returns the entry that was written last. */
    Optional<NodeEntry> stored() {
        return stored;
    }

    /** Writes the current entry, after a write in progress. */
    void entryChanged() {
        writePending = true;
        write();
    }

    /**
     * Reads and writes the entry again, because the store may have lost it. Until then nothing is
     * known of the object: its revisions may have been given out again.
     */
    void storeAgain() {
        generation++;
        object = new StoredObject.Unknown();
        stored = Optional.empty();
        entryChanged();
    }

    /**
     * Whether a listing, which may be seconds old, lacks what was written.
     *
     * @param listed this node's entry in the listing, or empty if there is none
     * @param nowNanos current time
     */
    boolean lost(Optional<NodeEntry> listed, long nowNanos) {
        boolean settled =
                !writing && !writePending && nowNanos - lastWrittenNanos > MAX_STALENESS_NANOS;
        return settled
                && stored.isPresent()
                && (listed.isEmpty() || stored.get().supersedes(listed.get()));
    }

    /** Runs a task once the current entry is stored; at once if it already is. */
    void whenStored(Runnable task) {
        if (!writing && !writePending) {
            task.run();
        } else {
            afterWrite.add(task);
        }
    }

    private void write() {
        if (writing || !writePending) {
            return;
        }
        writing = true;
        int inGeneration = generation;
        switch (object) {
            case StoredObject.Unknown ignored -> store.read(FleetSync.KIND, name, this::onRead);
            case StoredObject.Absent ignored -> {
                NodeEntry entry = nextToWrite();
                store.create(
                        FleetSync.KIND,
                        name,
                        NodeEntryCodec.encode(entry),
                        result -> onWritten(entry, inGeneration, result));
            }
            case StoredObject.Present present -> {
                NodeEntry entry = nextToWrite();
                store.replace(
                        FleetSync.KIND,
                        name,
                        present.revision(),
                        NodeEntryCodec.encode(entry),
                        result -> onWritten(entry, inGeneration, result));
            }
        }
    }

    private NodeEntry nextToWrite() {
        writePending = false;
        return current.get();
    }

    private void onRead(FleetStore.Result result) {
        writing = false;
        switch (result) {
            case FleetStore.Result.Done done -> {
                object = new StoredObject.Present(revision(done));
                formerRead();
                try {
                    onFound.accept(done);
                } finally {
                    // An entry that cannot be used must not keep the node from starting.
                    write();
                }
            }
            case FleetStore.Result.Missing ignored -> {
                object = new StoredObject.Absent();
                formerRead();
                write();
            }
            default -> {
                log.write("entry_read_failed", "result", result);
                writeLater();
            }
        }
    }

    private void writeLater() {
        loop.schedule(this::write, backoff.next(), TimeUnit.MILLISECONDS);
    }

    /** Returns the revision of the one object of a response. */
    private static long revision(FleetStore.Result.Done done) {
        return done.entries().isEmpty()
                ? done.unreadable().stream()
                        .mapToLong(FleetStore.UnreadableEntry::revision)
                        .findFirst()
                        .orElse(FleetStore.ANY_REVISION)
                : done.entries().getFirst().revision();
    }

    private void formerRead() {
        backoff.reset();
        formerKnown = true;
    }

    private void onWritten(NodeEntry written, int inGeneration, FleetStore.Result result) {
        writing = false;
        if (inGeneration != generation && !(result instanceof FleetStore.Result.NoAnswer)) {
            // It named a revision that the store has given out again, so what it replaced is
            // unknown.
            writePending = true;
            write();
            return;
        }
        switch (result) {
            case FleetStore.Result.Done done -> {
                object = new StoredObject.Present(revision(done));
                stored = Optional.of(written);
                lastWrittenNanos = System.nanoTime();
                backoff.reset();
                onStored.run();
            }
            case FleetStore.Result.Missing ignored -> {
                object = new StoredObject.Absent();
                writePending = true;
            }
            case FleetStore.Result.Conflict conflict -> {
                writePending = true;
                onConflict(conflict);
                return;
            }
            default -> {
                log.write("entry_write_failed", "result", result);
                writePending = true;
                writeLater();
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

    /** A late write of this process or of a former one was done, or another writer interferes. */
    private void onConflict(FleetStore.Result.Conflict conflict) {
        log.write("entry_conflict", "current", conflict.current().isPresent());
        writeLater();
        if (conflict.current().isEmpty()) {
            object = new StoredObject.Unknown();
            return;
        }
        FleetStore.StoredEntry found = conflict.current().get();
        object = new StoredObject.Present(found.revision());
        onFound.accept(new FleetStore.Result.Done(List.of(found), List.of(), 0, Optional.empty()));
    }
}
