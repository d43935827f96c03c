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
 * targets have departed. Runs on the node's event loop.
 */
final class OwnEntryStore {
    private final FleetStore store;
    private final String name;
    private final Supplier<NodeEntry> current;
    private final EventLoop loop;
    private final Backoff backoff;
    private final DecisionLog log;
    private final List<Runnable> afterWrite = new ArrayList<>();
    private Consumer<FleetStore.Result.Done> onFormer = former -> {};
    private Runnable onStored = () -> {};
    private Optional<NodeEntry> stored = Optional.empty();

    /** Whether the former entry was read, or there is none. */
    private boolean formerKnown;

    private boolean objectExists;
    private boolean writing;
    private boolean writePending;

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
        // After an earlier run the store has an object to replace; a first start must create it.
        this.objectExists = !firstStart;
    }

    /**
     * Starts storing the entry.
     *
     * @param formerListener receives the entry of the former process, if there is one; what it
     *     changes in the current entry is part of the first write
     * @param storedListener runs after each write
     */
    void start(Consumer<FleetStore.Result.Done> formerListener, Runnable storedListener) {
        onFormer = formerListener;
        onStored = storedListener;
        writePending = true;
        if (formerKnown) {
            write();
        } else {
            readFormer();
        }
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

    /** Runs a task once the current entry is stored; at once if it already is. */
    void whenStored(Runnable task) {
        if (!writing && !writePending) {
            task.run();
        } else {
            afterWrite.add(task);
        }
    }

    private void readFormer() {
        store.read(FleetSync.KIND, name, this::onFormerRead);
    }

    private void onFormerRead(FleetStore.Result result) {
        switch (result) {
            case FleetStore.Result.Done done -> {
                formerRead();
                try {
                    onFormer.accept(done);
                } finally {
                    // A former entry that cannot be used must not keep the node from starting.
                    write();
                }
            }
            case FleetStore.Result.Missing ignored -> {
                objectExists = false;
                formerRead();
                write();
            }
            default -> {
                log.write("entry_read_failed", "result", result);
                loop.schedule(this::readFormer, backoff.next(), TimeUnit.MILLISECONDS);
            }
        }
    }

    private void formerRead() {
        backoff.reset();
        formerKnown = true;
    }

    private void write() {
        if (writing || !writePending || !formerKnown) {
            return;
        }
        writing = true;
        writePending = false;
        NodeEntry written = current.get();
        Consumer<FleetStore.Result> done = result -> onWritten(written, result);
        if (objectExists) {
            store.replace(FleetSync.KIND, name, NodeEntryCodec.encode(written), done);
        } else {
            store.create(FleetSync.KIND, name, NodeEntryCodec.encode(written), done);
        }
    }

    private void onWritten(NodeEntry written, FleetStore.Result result) {
        writing = false;
        switch (result) {
            case FleetStore.Result.Done ignored -> {
                objectExists = true;
                stored = Optional.of(written);
                backoff.reset();
                onStored.run();
            }
            case FleetStore.Result.Missing ignored -> {
                objectExists = false;
                writePending = true;
            }
            case FleetStore.Result.Conflict ignored -> {
                objectExists = true;
                writePending = true;
            }
            default -> {
                log.write("entry_write_failed", "result", result);
                writePending = true;
                loop.schedule(this::write, backoff.next(), TimeUnit.MILLISECONDS);
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
}
