package org.azureshed.membership;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.NodeRecord;
import org.azureshed.generated.RecordPatch;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/** Merges records from peers and from the platform into the table. */
final class RecordMerge {
    /** Lifetime of a tombstone; much longer than any expected network partition. */
    static final long TOMBSTONE_MILLIS = 2 * 60 * 60 * 1_000L;

    /** Bounds the state when many nodes change at once; digest comparison transfers the rest. */
    private static final int MAX_RECENT = 64;

    /** Keeps two processes with the same id from raising their versions for ever. */
    private static final int MAX_DUPLICATE_ID_REPAIRS = 3;

    private RecordMerge() {}

    /**
     * Merges records that arrived in a message.
     *
     * @param fresh whether the records are recent changes rather than the contents of a bucket
     * @return the urgent changes among the new records
     */
    static GossipDeltas merge(Draft draft, GossipDeltas deltas, boolean fresh) {
        GossipDeltas.Builder urgent = GossipDeltas.newBuilder();
        for (NodeRecord encoded : deltas.getNodesList()) {
            Optional<MemberRecord> record = RecordCodec.decode(encoded, draft.state.nowMillis());
            if (record.isPresent() && merge(draft, record.get(), fresh)) {
                urgent.addNodes(encoded);
            }
        }
        Set<String> urgentIds = new HashSet<>();
        for (RecordPatch patch : deltas.getPatchesList()) {
            if (merge(draft, patch)) {
                urgentIds.add(patch.getId());
            }
        }
        for (RecordPatch patch : deltas.getPatchesList()) {
            // Forwards all patches of the record, because the receivers may lack the earlier ones.
            if (urgentIds.contains(patch.getId())) {
                urgent.addPatches(patch);
            }
        }
        return urgent.build();
    }

    private static boolean merge(Draft draft, RecordPatch patch) {
        Optional<MemberRecord> patched =
                patch.getId().isBlank()
                        ? Optional.empty()
                        : draft.state
                                .table()
                                .get(new NodeId(patch.getId()))
                                .flatMap(base -> RecordPatches.apply(base, patch));
        if (patched.isEmpty()) {
            return false;
        }
        return merge(draft, patched.get(), Optional.of(patch), true);
    }

    /** Merges one record; returns whether it is a new and urgent change. */
    static boolean merge(Draft draft, MemberRecord record, boolean fresh) {
        return merge(draft, record, Optional.empty(), fresh);
    }

    private static boolean merge(
            Draft draft, MemberRecord record, Optional<RecordPatch> patch, boolean fresh) {
        if (record.id().equals(draft.state.self().id())) {
            repairSelf(draft, record);
            return false;
        }
        Optional<MemberRecord> known = draft.state.table().get(record.id());
        if (known.isPresent() && !record.supersedes(known.get())) {
            return false;
        }
        if (record.removed() && expired(draft, record)) {
            return false;
        }
        put(draft, known, record);
        boolean urgent = known.isPresent() && urgent(known.get(), record);
        if (!urgent && (fresh || known.isPresent())) {
            addRecentChange(draft, record.id(), patch);
        }
        return urgent;
    }

    static void addRecentChange(Draft draft, NodeId id, Optional<RecordPatch> patch) {
        var recent = draft.state.recent();
        if (recent.size() < MAX_RECENT || recent.containsKey(id)) {
            RecentChange change = RecentChange.after(recent.get(id).toJavaOptional(), patch);
            draft.state = draft.state.withRecent(recent.put(id, change));
        }
    }

    static boolean expired(Draft draft, MemberRecord tombstone) {
        return draft.state.nowMillis() - tombstone.removedAtMillis() > TOMBSTONE_MILLIS;
    }

    private static void put(Draft draft, Optional<MemberRecord> known, MemberRecord record) {
        MembershipState state = draft.state.withTable(draft.state.table().put(record));
        boolean zoneChanged =
                !known.flatMap(MemberRecord::info)
                        .map(NodeInfo::availabilityZone)
                        .equals(record.info().map(NodeInfo::availabilityZone));
        if (zoneChanged) {
            state = state.withPeers(state.peers().outdated());
        }
        boolean restarted = known.isPresent() && known.get().incarnation() < record.incarnation();
        if (restarted || record.removed()) {
            state = state.withReachability(state.reachability().remove(record.id()));
        }
        draft.state = state;
        record.info().ifPresentOrElse(draft::updated, () -> draft.removed(record.id()));
        if (record.info().isPresent()) {
            FailureDetection.unhide(draft, record.id());
        }
    }

    /** Whether a change removes capacity, so that all nodes must receive it within seconds. */
    static boolean urgent(MemberRecord before, MemberRecord after) {
        if (before.removed()) {
            return false;
        }
        if (after.removed()) {
            return true;
        }
        NodeInfo old = before.info().get();
        NodeInfo next = after.info().get();
        if (next.draining() && !old.draining()) {
            return true;
        }
        for (TargetInfo target : next.targets()) {
            if (target.state() == TargetState.DRAINING && !old.targets().contains(target)) {
                return true;
            }
        }
        for (TargetInfo target : old.targets()) {
            boolean serving = target.state() == TargetState.READY;
            if (serving && !next.targets().contains(target)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Raises the version of this node's own record above a newer one that a peer or the platform
     * has. If theirs is older, the own record is only gossiped again.
     */
    private static void repairSelf(Draft draft, MemberRecord other) {
        NodeInfo self = draft.state.self();
        MemberRecord own = draft.state.table().get(self.id()).orElseThrow();
        if (draft.state.leaving() || other.equals(own)) {
            return;
        }
        boolean fromOtherProcess =
                other.info().filter(info -> !info.control().equals(self.control())).isPresent();
        if (!other.supersedes(own)) {
            boolean same =
                    other.incarnation() == own.incarnation()
                            && other.sequence() == own.sequence()
                            && other.contentHash() == own.contentHash();
            if (!same) {
                addRecentChange(draft, self.id(), Optional.empty());
            }
            return;
        }
        if (fromOtherProcess) {
            draft.add(new MembershipEffect.DuplicateNodeId(other.info().get()));
            if (draft.state.duplicateIdRepairs() >= MAX_DUPLICATE_ID_REPAIRS) {
                return;
            }
            draft.state = draft.state.withDuplicateIdRepairs(draft.state.duplicateIdRepairs() + 1);
        }
        NodeInfo repaired =
                other.incarnation() == own.incarnation()
                        ? version(self, own.incarnation(), other.sequence() + 1)
                        : version(self, other.incarnation() + 1, 1);
        draft.state =
                draft.state
                        .withSelf(repaired)
                        .withOwnChanges(
                                OwnChange.append(
                                        draft.state.ownChanges(),
                                        Optional.empty(),
                                        draft.state.nowMillis()));
        addRecentChange(draft, self.id(), Optional.empty());
        draft.add(new MembershipEffect.SelfRepaired(repaired));
    }

    /**
     * Copies a record with another version. The larger incarnation of an earlier run is never
     * reused unchanged, because leases of that run must not be mistaken for leases of this one.
     */
    private static NodeInfo version(NodeInfo info, long incarnation, long sequence) {
        return new NodeInfo(
                info.id(),
                info.region(),
                info.availabilityZone(),
                info.entry(),
                info.host(),
                info.control(),
                incarnation,
                sequence,
                info.draining(),
                info.targets());
    }
}
