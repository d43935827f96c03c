package org.azureshed.node;

import io.vavr.control.Either;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoreError;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;

/** Reads the records of all nodes from the platform and follows their changes. */
@Singleton
final class NodeWatcher {
    static final String KIND = "node";

    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(20);
    private static final long RETRY_MILLIS = 1_000;

    private final ObjectStore store;
    private final Provider<ControlLoop> control;
    private final NodeInfoCodec codec = new NodeInfoCodec();

    @Inject
    NodeWatcher(ObjectStore store, Provider<ControlLoop> control) {
        this.store = store;
        this.control = control;
    }

    /** Follows changes until the thread is interrupted. */
    void run() {
        Optional<Long> version = Optional.empty();
        try {
            while (!Thread.currentThread().isInterrupted()) {
                version = version.isEmpty() ? list() : watch(version.get());
                if (version.isEmpty()) {
                    Thread.sleep(RETRY_MILLIS + ThreadLocalRandom.current().nextLong(RETRY_MILLIS));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Optional<Long> list() {
        Either<StoreError, Listing> result = store.list(KIND);
        if (result.isLeft()) {
            logFailure("node_list_failed", result.getLeft());
            return Optional.empty();
        }
        List<NodeInfo> nodes =
                result.get().objects().stream().flatMap(o -> decode(o).stream()).toList();
        control.get().submit(new ControlEvent.NodesListed(nodes));
        return Optional.of(result.get().version());
    }

    private Optional<Long> watch(long since) {
        Either<StoreError, Listing> result = store.watch(KIND, since, WATCH_TIMEOUT);
        if (result.isLeft()) {
            logFailure("node_watch_failed", result.getLeft());
            return Optional.empty();
        }
        for (StoredObject object : result.get().objects()) {
            if (object.deleted()) {
                NodeId id = new NodeId(object.key().name());
                control.get().submit(new ControlEvent.NodeDeleted(id));
            } else {
                decode(object)
                        .ifPresent(node -> control.get().submit(new ControlEvent.NodeSeen(node)));
            }
        }
        return Optional.of(result.get().version());
    }

    private Optional<NodeInfo> decode(StoredObject object) {
        return codec.decode(object.value())
                .peekLeft(
                        error ->
                                EventLog.warning("node_record_refused")
                                        .with("object", object.key())
                                        .with("error", error)
                                        .write())
                .toJavaOptional();
    }

    private static void logFailure(String event, StoreError error) {
        EventLog.warning(event).with("error", error.message()).write();
    }
}
