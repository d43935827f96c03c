package org.azureshed.node;

import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.util.List;
import java.util.Optional;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.platform.Listing;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;

/** Reads the records of all nodes from the platform once; a relay also watches for changes. */
@Singleton
final class NodeWatcher {
    static final String KIND = "node";

    private final Provider<ControlLoop> control;
    private final KindWatcher watcher;
    private final NodeInfoCodec codec = new NodeInfoCodec();

    @Inject
    NodeWatcher(ObjectStore store, Provider<ControlLoop> control, RelayRole relay) {
        this.control = control;
        this.watcher = new KindWatcher(KIND, store, relay, this::listed, this::changed);
    }

    /** Reads the records and watches for changes until the thread is interrupted. */
    void run() {
        watcher.run();
    }

    private void listed(Listing listing) {
        List<NodeInfo> nodes =
                listing.objects().stream().flatMap(object -> decode(object).stream()).toList();
        control.get().submit(new ControlEvent.NodesListed(nodes));
    }

    private void changed(StoredObject object) {
        if (object.deleted()) {
            NodeId id = new NodeId(object.key().name());
            control.get().submit(new ControlEvent.NodeDeleted(id));
        } else {
            decode(object).ifPresent(node -> control.get().submit(new ControlEvent.NodeSeen(node)));
        }
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
}
