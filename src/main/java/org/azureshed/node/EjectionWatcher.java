package org.azureshed.node;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionRecord;
import org.azureshed.ejection.EjectionRecordCodec;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;

/** Reads the ejection records from the platform once; a relay also watches for changes. */
@Singleton
final class EjectionWatcher {
    private static final String KIND = "ejection";
    private final Provider<ControlLoop> control;
    private final KindWatcher watcher;

    @Inject
    EjectionWatcher(ObjectStore store, Provider<ControlLoop> control, RelayRole relay) {
        this.control = control;
        this.watcher =
                new KindWatcher(
                        KIND,
                        store,
                        relay,
                        listing -> listing.objects().forEach(this::received),
                        this::received);
    }

    /** Reads the records and watches for changes until the thread is interrupted. */
    void run() {
        watcher.run();
    }

    private void received(StoredObject object) {
        Either<String, EjectionRecord> record =
                object.deleted()
                        ? Either.right(EjectionRecord.empty(object.key().name()))
                        : EjectionRecordCodec.decode(object.value());
        record.peek(
                        known ->
                                control.get()
                                        .submit(
                                                new ControlEvent.Ejection(
                                                        new EjectionEvent.RecordReceived(
                                                                known, object.version()))))
                .peekLeft(
                        problem ->
                                EventLog.warning("ejection_record_ignored")
                                        .with("object", object.key())
                                        .with("error", problem)
                                        .write());
    }
}
