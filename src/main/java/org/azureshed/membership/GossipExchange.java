package org.azureshed.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.generated.ControlMessage;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.GossipPush;
import org.azureshed.generated.GossipReply;
import org.azureshed.generated.GossipRequest;
import org.azureshed.generated.GroupHashes;
import org.azureshed.generated.NodeRecord;
import org.azureshed.generated.RecordVersion;
import org.azureshed.generated.SyncReply;
import org.azureshed.generated.SyncRequest;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;

/** Builds and answers the anti-entropy messages with which two nodes compare their tables. */
final class GossipExchange {
    private static final long TIMEOUT_MILLIS = 800;

    /**
     * Size of the recent changes in a message from which no further one is added. One or two whole
     * records fit; a record has about 50 bytes for each of its targets.
     */
    static final int MAX_RECENT_BYTES = 1_400;

    /** Keeps the versions of one sync below 6 KB; later rounds compare the other buckets. */
    private static final int MAX_SYNC_VERSIONS = 200;

    /**
     * Size of the records in one sync message from which no further record or bucket is added.
     * Sending it takes only milliseconds, so other messages are not delayed.
     */
    private static final int MAX_SYNC_BYTES = 256 * 1024;

    private GossipExchange() {}

    static void start(Draft draft, Endpoint to, Optional<NodeId> peer) {
        GossipRequest.Builder request =
                GossipRequest.newBuilder()
                        .setSender(draft.state.self().id().value())
                        .setDeltas(nextDeltas(draft))
                        .setActivation(draft.state.activation());
        for (int group = 0; group < RecordTable.GROUPS; group++) {
            request.addGroupHashes(draft.state.table().groupHash(group));
        }
        draft.request(
                to,
                ControlMessage.newBuilder().setGossipRequest(request).build(),
                new RequestPurpose.Gossip(peer, to),
                TIMEOUT_MILLIS);
    }

    static ControlMessage reply(Draft draft, GossipRequest request) {
        GossipReply.Builder reply =
                GossipReply.newBuilder()
                        .setSender(draft.state.self().id().value())
                        .setDeltas(nextDeltas(draft))
                        .setActivation(draft.state.activation());
        RecordTable table = draft.state.table();
        int groups = Math.min(RecordTable.GROUPS, request.getGroupHashesCount());
        for (int group = 0; group < groups; group++) {
            if (table.groupHash(group) != request.getGroupHashes(group)) {
                GroupHashes.Builder hashes = GroupHashes.newBuilder().setGroup(group);
                for (int i = 0; i < RecordTable.GROUPS; i++) {
                    hashes.addBucketHashes(table.bucketHash(group * RecordTable.GROUPS + i));
                }
                reply.addDiffering(hashes);
            }
        }
        return ControlMessage.newBuilder().setGossipReply(reply).build();
    }

    /** Requests the buckets that still differ after the deltas of the reply were merged. */
    static void compare(Draft draft, GossipReply reply, Optional<NodeId> peer, Endpoint to) {
        List<Integer> differing = new ArrayList<>();
        for (GroupHashes hashes : reply.getDifferingList()) {
            int count = Math.min(RecordTable.GROUPS, hashes.getBucketHashesCount());
            for (int i = 0; i < count && hashes.getGroup() < RecordTable.GROUPS; i++) {
                int bucket = hashes.getGroup() * RecordTable.GROUPS + i;
                if (draft.state.table().bucketHash(bucket) != hashes.getBucketHashes(i)) {
                    differing.add(bucket);
                }
            }
        }
        if (!differing.isEmpty()) {
            int start = draft.random.nextInt(differing.size());
            java.util.Collections.rotate(differing, start);
            sync(draft, peer, to, differing);
        }
    }

    private static void sync(
            Draft draft, Optional<NodeId> peer, Endpoint to, List<Integer> buckets) {
        SyncRequest.Builder request =
                SyncRequest.newBuilder().setSender(draft.state.self().id().value());
        List<Integer> requestedBuckets = new ArrayList<>();
        for (int bucket : buckets) {
            if (request.getVersionsCount() >= MAX_SYNC_VERSIONS) {
                break;
            }
            requestedBuckets.add(bucket);
            request.addBuckets(bucket);
            for (MemberRecord record : draft.state.table().bucket(bucket)) {
                request.addVersions(
                        RecordVersion.newBuilder()
                                .setIdHash(record.idHash())
                                .setIncarnation(record.incarnation())
                                .setSequence(record.sequence())
                                .setContentHash(record.removed() ? 1 : record.contentHash()));
            }
        }
        draft.request(
                to,
                ControlMessage.newBuilder().setSyncRequest(request).build(),
                new RequestPurpose.Sync(peer, to, requestedBuckets),
                TIMEOUT_MILLIS);
    }

    static ControlMessage reply(Draft draft, SyncRequest request) {
        Map<Long, RecordVersion> peerVersions = new HashMap<>();
        request.getVersionsList()
                .forEach(version -> peerVersions.put(version.getIdHash(), version));
        SyncReply.Builder reply = SyncReply.newBuilder().setSender(draft.state.self().id().value());
        GossipDeltas.Builder deltas = GossipDeltas.newBuilder();
        int bytes = 0;
        int covered = 0;
        for (int bucket : request.getBucketsList()) {
            if (bucket >= RecordTable.BUCKETS || bytes > MAX_SYNC_BYTES) {
                break;
            }
            covered++;
            for (MemberRecord record : draft.state.table().bucket(bucket)) {
                RecordVersion version = peerVersions.remove(record.idHash());
                if (version == null || newer(record, version)) {
                    NodeRecord encoded = RecordCodec.encode(record, draft.state.nowMillis());
                    bytes += encoded.getSerializedSize();
                    deltas.addNodes(encoded);
                } else if (!same(record, version)) {
                    reply.addWantedIdHashes(record.idHash());
                }
            }
        }
        List<Integer> coveredBuckets = request.getBucketsList().subList(0, covered);
        for (long idHash : peerVersions.keySet()) {
            if (coveredBuckets.contains(RecordTable.bucketOf(idHash))) {
                reply.addWantedIdHashes(idHash);
            }
        }
        reply.setDeltas(deltas).setCoveredBuckets(covered);
        return ControlMessage.newBuilder().setSyncReply(reply).build();
    }

    /**
     * Sends the records that the peer requested and requests the buckets that did not fit into its
     * reply.
     */
    static void finish(Draft draft, SyncReply reply, RequestPurpose.Sync sync) {
        GossipDeltas.Builder deltas = GossipDeltas.newBuilder();
        int bytes = 0;
        for (long idHash : reply.getWantedIdHashesList()) {
            Optional<MemberRecord> record = draft.state.table().byHash(idHash);
            if (record.isPresent() && bytes < MAX_SYNC_BYTES) {
                NodeRecord encoded = RecordCodec.encode(record.get(), draft.state.nowMillis());
                bytes += encoded.getSerializedSize();
                deltas.addNodes(encoded);
            }
        }
        if (deltas.getNodesCount() > 0) {
            GossipPush.Builder push = GossipPush.newBuilder().setDeltas(deltas);
            draft.add(
                    new MembershipEffect.Send(
                            sync.endpoint(),
                            ControlMessage.newBuilder().setGossipPush(push).build()));
        }
        int covered = reply.getCoveredBuckets();
        if (covered > 0 && covered < sync.buckets().size()) {
            List<Integer> rest = sync.buckets().subList(covered, sync.buckets().size());
            sync(draft, sync.peer(), sync.endpoint(), rest);
        }
    }

    /** Returns the changes to send in the next exchange and decrements their remaining sends. */
    static GossipDeltas nextDeltas(Draft draft) {
        GossipDeltas.Builder deltas = GossipDeltas.newBuilder();
        int bytes = 0;
        for (var entry : draft.state.recent()) {
            Optional<MemberRecord> record = draft.state.table().get(entry._1);
            if (bytes >= MAX_RECENT_BYTES) {
                break;
            }
            RecentChange change = entry._2;
            if (!change.patches().isEmpty()) {
                bytes += change.bytes();
                deltas.addAllPatches(change.patches());
            } else if (record.isPresent()) {
                NodeRecord encoded = RecordCodec.encode(record.get(), draft.state.nowMillis());
                bytes += encoded.getSerializedSize();
                deltas.addNodes(encoded);
            }
            draft.state =
                    draft.state.withRecent(
                            change.exchangesLeft() > 1
                                    ? draft.state.recent().put(entry._1, change.sent())
                                    : draft.state.recent().remove(entry._1));
        }
        for (var entry : draft.state.gossipEntries()) {
            if (entry._2.exchangesLeft() > 0 && bytes < MAX_RECENT_BYTES) {
                bytes += entry._2.deltas().getSerializedSize();
                deltas.mergeFrom(entry._2.deltas());
                draft.state =
                        draft.state.withGossipEntries(
                                draft.state.gossipEntries().put(entry._1, entry._2.sent()));
            }
        }
        return deltas.build();
    }

    private static boolean newer(MemberRecord record, RecordVersion version) {
        if (record.incarnation() != version.getIncarnation()) {
            return record.incarnation() > version.getIncarnation();
        }
        if (record.sequence() != version.getSequence()) {
            return record.sequence() > version.getSequence();
        }
        int hash = record.removed() ? 1 : record.contentHash();
        return hash != version.getContentHash()
                && (record.removed()
                        || Integer.compareUnsigned(hash, version.getContentHash()) > 0);
    }

    private static boolean same(MemberRecord record, RecordVersion version) {
        int hash = record.removed() ? 1 : record.contentHash();
        return record.incarnation() == version.getIncarnation()
                && record.sequence() == version.getSequence()
                && hash == version.getContentHash();
    }
}
