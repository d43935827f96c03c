package org.azureshed.idempotency.internal;

import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.KeyRangeLease;
import org.azureshed.idempotency.OwnerEvent;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;

/**
 * Reads the leases of key ranges from the platform. Many reads that are requested together are
 * combined into one listing, because in a fleet of two nodes each is the successor of about 64
 * ranges.
 */
final class LeaseReader {
    /**
     * Time to wait for more reads. The reads of one tick are requested within a few milliseconds.
     */
    private static final long BATCH_WINDOW_MILLIS = 20;

    /**
     * A listing of all 128 ranges is one call of the platform and costs less processor time than 32
     * reads. In a fleet of more than about ten nodes no node reads that many ranges.
     */
    private static final int MIN_RANGES_TO_LIST = 32;

    private final ObjectStore store;
    private final Consumer<OwnerEvent> events;
    private final Consumer<KeyRangeLease> leases;
    private final Set<KeyRange> pending = new HashSet<>();

    /**
     * Creates a reader.
     *
     * @param store the platform
     * @param events takes the result of each read
     * @param leases takes each lease that was read
     */
    LeaseReader(ObjectStore store, Consumer<OwnerEvent> events, Consumer<KeyRangeLease> leases) {
        this.store = store;
        this.events = events;
        this.leases = leases;
    }

    /**
     * Schedules a read of a range's lease. Does not block.
     *
     * @param range range to read
     */
    void request(KeyRange range) {
        synchronized (pending) {
            boolean first = pending.isEmpty();
            pending.add(range);
            if (first) {
                Thread.ofVirtual().start(this::readPending);
            }
        }
    }

    private void readPending() {
        try {
            Thread.sleep(BATCH_WINDOW_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        Set<KeyRange> ranges;
        synchronized (pending) {
            ranges = Set.copyOf(pending);
            pending.clear();
        }
        if (ranges.size() >= MIN_RANGES_TO_LIST) {
            list(ranges);
        } else {
            ranges.forEach(range -> Thread.ofVirtual().start(() -> read(range)));
        }
    }

    private void list(Set<KeyRange> ranges) {
        long sent = KeyShell.now();
        Either<StoreError, Listing> listing = store.list(KeyRange.OBJECT_KIND);
        if (listing.isLeft()) {
            long now = KeyShell.now();
            ranges.forEach(range -> events.accept(new OwnerEvent.ReadFailed(range, now)));
            return;
        }
        Map<String, StoredObject> found = new HashMap<>();
        for (StoredObject object : listing.get().objects()) {
            if (!object.deleted()) {
                found.put(object.key().name(), object);
            }
        }
        for (KeyRange range : ranges) {
            StoredObject object = found.get(range.objectKey().name());
            if (object == null && listing.get().mayHideUnreadable(range.objectKey().name())) {
                events.accept(new OwnerEvent.ReadFailed(range, KeyShell.now()));
            } else if (object == null) {
                submitMissing(range, sent);
            } else {
                submitRead(range, object, sent);
            }
        }
    }

    /**
     * Reads a range's lease at once. Blocks.
     *
     * @param range range to read
     * @return its lease, or empty if there is none or it cannot be read
     */
    Optional<KeyRangeLease> read(KeyRange range) {
        long sent = KeyShell.now();
        Either<StoreError, StoredObject> found = store.get(range.objectKey());
        if (found.isRight()) {
            return submitRead(range, found.get(), sent);
        }
        if (found.getLeft() instanceof StoreError.NotFound) {
            submitMissing(range, sent);
        } else {
            events.accept(new OwnerEvent.ReadFailed(range, KeyShell.now()));
        }
        return Optional.empty();
    }

    private void submitMissing(KeyRange range, long sent) {
        events.accept(
                new OwnerEvent.LeaseRead(range, Optional.empty(), 0, sent, KeyShell.now(), 0));
    }

    private Optional<KeyRangeLease> submitRead(KeyRange range, StoredObject object, long sent) {
        Either<String, KeyRangeLease> lease = KeyRangeLease.parse(object.value());
        if (lease.isLeft()) {
            EventLog.warning("key_range_malformed").with("error", lease.getLeft()).write();
            events.accept(new OwnerEvent.ReadFailed(range, KeyShell.now()));
            return Optional.empty();
        }
        leases.accept(lease.get());
        events.accept(
                new OwnerEvent.LeaseRead(
                        range,
                        Optional.of(lease.get()),
                        object.version(),
                        sent,
                        KeyShell.now(),
                        object.serverTimeMillis()));
        return Optional.of(lease.get());
    }
}
