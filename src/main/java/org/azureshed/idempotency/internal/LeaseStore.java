package org.azureshed.idempotency.internal;

import io.vavr.control.Either;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.KeyRangeLease;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.idempotency.OwnerEffect;
import org.azureshed.idempotency.OwnerEvent;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;

/**
 * Reads and writes the leases of key ranges at the platform and caches the leases that were read.
 * Calls block unless stated otherwise.
 */
final class LeaseStore {
    private static final long READ_INTERVAL_MILLIS = 1_000;

    private final NodeInstance self;
    private final ObjectStore store;
    private final Consumer<OwnerEvent> events;
    private final LeaseReader reader;
    private final Map<KeyRange, KeyRangeLease> leases = new ConcurrentHashMap<>();
    private final Map<KeyRange, Long> lastReadMillis = new ConcurrentHashMap<>();

    LeaseStore(NodeInstance self, ObjectStore store, Consumer<OwnerEvent> events) {
        this.self = self;
        this.store = store;
        this.events = events;
        this.reader = new LeaseReader(store, events, this::cache);
    }

    /** The newest lease of a range that this node has read. */
    Optional<KeyRangeLease> known(KeyRange range) {
        return Optional.ofNullable(leases.get(range));
    }

    /**
     * The cached lease. It is read anew if it is missing or outdated, at most once a second for
     * each range.
     */
    Optional<KeyRangeLease> lease(KeyRange range, boolean outdated) {
        KeyRangeLease known = leases.get(range);
        long now = now();
        Long lastRead = lastReadMillis.get(range);
        boolean readRecently = lastRead != null && now - lastRead < READ_INTERVAL_MILLIS;
        if (readRecently || (known != null && !outdated)) {
            return Optional.ofNullable(known);
        }
        lastReadMillis.put(range, now);
        return reader.read(range);
    }

    /** Schedules a read of a lease, which may be combined with other reads. Does not block. */
    void request(KeyRange range) {
        reader.request(range);
    }

    void write(OwnerEffect.WriteLease write) {
        KeyRangeLease lease = write.lease();
        Either<StoreError, StoredObject> written =
                store.put(lease.range().objectKey(), lease.toJson(), write.expectedVersion());
        events.accept(
                written.fold(
                        error -> writeFailure(lease, error),
                        object ->
                                new OwnerEvent.WriteAccepted(
                                        lease,
                                        object.version(),
                                        write.sentMillis(),
                                        now(),
                                        object.serverTimeMillis())));
    }

    private static OwnerEvent writeFailure(KeyRangeLease lease, StoreError error) {
        return switch (error) {
            case StoreError.Conflict ignored -> new OwnerEvent.WriteRefused(lease, true, now());
            case StoreError.Unavailable ignored -> new OwnerEvent.WriteRefused(lease, false, now());
            case StoreError.RateLimited ignored -> new OwnerEvent.WriteRefused(lease, false, now());
            default -> new OwnerEvent.WriteUnanswered(lease, now());
        };
    }

    /** Reads all leases and reports those that name this node as a successor. */
    void list() {
        store.list(KeyRange.OBJECT_KIND)
                .peek(
                        listing ->
                                listing.objects().stream()
                                        .map(StoredObject::value)
                                        .map(KeyRangeLease::parse)
                                        .forEach(lease -> lease.peek(this::onListed)));
    }

    private void onListed(KeyRangeLease lease) {
        cache(lease);
        if (lease.successors().contains(self)) {
            events.accept(new OwnerEvent.NamedAsSuccessor(lease.range(), now()));
        }
    }

    private void cache(KeyRangeLease lease) {
        leases.merge(lease.range(), lease, (old, read) -> read.epoch() >= old.epoch() ? read : old);
    }

    private static long now() {
        return KeyShell.now();
    }
}
