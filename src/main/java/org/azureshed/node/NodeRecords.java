package org.azureshed.node;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.azureshed.membership.MembershipEffect;
import org.azureshed.model.NodeInfo;
import org.azureshed.platform.ObjectKey;
import org.azureshed.platform.ObjectStore;
import org.azureshed.platform.StoredObject;
import org.azureshed.telemetry.EventLog;

/** Removes the records of departed nodes from the platform, if this node is a relay. */
@Singleton
final class NodeRecords {
    private final ObjectStore store;
    private final RelayRole relay;
    private final NodeInfoCodec codec = new NodeInfoCodec();

    @Inject
    NodeRecords(ObjectStore store, RelayRole relay) {
        this.store = store;
        this.relay = relay;
    }

    /** Deletes a record unless its incarnation or sequence has changed. Does not block. */
    void delete(MembershipEffect.DeleteRecord effect) {
        if (relay.isRelay()) {
            Thread.ofVirtual().name("delete-record").start(() -> deleteNow(effect));
        }
    }

    private void deleteNow(MembershipEffect.DeleteRecord effect) {
        ObjectKey key = new ObjectKey(NodeWatcher.KIND, effect.id().value());
        store.get(key)
                .filter(object -> matches(object, effect))
                .forEach(found -> found.forEach(object -> deleteVersion(effect, key, object)));
    }

    private void deleteVersion(
            MembershipEffect.DeleteRecord effect, ObjectKey key, StoredObject object) {
        store.delete(key, object.version())
                .peek(
                        gone ->
                                EventLog.info("node_record_removed")
                                        .with("node", effect.id())
                                        .write());
    }

    private boolean matches(StoredObject object, MembershipEffect.DeleteRecord effect) {
        return codec.decode(object.value())
                .exists(
                        (NodeInfo node) ->
                                node.incarnation() == effect.incarnation()
                                        && node.sequence() == effect.sequence());
    }
}
