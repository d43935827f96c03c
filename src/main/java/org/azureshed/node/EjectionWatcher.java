package org.azureshed.node;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionRecord;
import org.azureshed.ejection.EjectionRecordCodec;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;

/** Reads the ejection records from the platform once; a relay also follows their changes. */
@Singleton
final class EjectionWatcher {
    private static final String KIND = "ejection";
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
    private static final long RETRY_MILLIS = 1_000;

    private final ObjectStore store;
    private final Provider<ControlLoop> control;
    private final RelayRole relay;

    @Inject
    EjectionWatcher(ObjectStore store, Provider<ControlLoop> control, RelayRole relay) {
        this.store = store;
        this.control = control;
        this.relay = relay;
    }

    /** Follows changes until the thread is interrupted. */
    void run() {
        Optional<Long> version = Optional.empty();
        boolean listed = false;
        try {
            while (!Thread.currentThread().isInterrupted()) {
                // Only relays go on reading after the first list; the others learn from gossip.
                boolean waited = listed && relay.await();
                boolean list = waited || version.isEmpty();
                version =
                        take(
                                list
                                        ? store.list(KIND)
                                        : store.watch(KIND, version.get(), WATCH_TIMEOUT));
                listed |= version.isPresent();
                if (version.isEmpty()) {
                    Thread.sleep(RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<Long> take(Either<StoreError, Listing> answer) {
        if (answer.isLeft()) {
            EventLog.warning("ejection_watch_failed")
                    .with("error", answer.getLeft().message())
                    .write();
            return Optional.empty();
        }
        answer.get().objects().forEach(this::heard);
        return Optional.of(answer.get().version());
    }

    private void heard(StoredObject object) {
        Either<String, EjectionRecord> record =
                object.deleted()
                        ? Either.right(EjectionRecord.empty(object.key().name()))
                        : EjectionRecordCodec.decode(object.value());
        record.peek(
                        known ->
                                control.get()
                                        .submit(
                                                new ControlEvent.Ejection(
                                                        new EjectionEvent.RecordHeard(
                                                                known, object.version()))))
                .peekLeft(
                        problem ->
                                EventLog.warning("ejection_record_ignored")
                                        .with("object", object.key())
                                        .with("error", problem)
                                        .write());
    }
}
