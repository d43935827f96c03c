package org.azureshed.membership;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/**
 * One version of a node's record, or the tombstone of a removed one.
 *
 * @param id the node
 * @param idHash hash of the id, which identifies the node in digests
 * @param incarnation incarnation of this version
 * @param sequence sequence of this version
 * @param contentHash hash that the owner computed over the contents; 0 for a tombstone
 * @param info the contents; empty for a tombstone
 * @param removedAtMillis when the record was removed, on this node's clock; 0 unless a tombstone
 */
public record MemberRecord(
        NodeId id,
        long idHash,
        long incarnation,
        long sequence,
        int contentHash,
        Optional<NodeInfo> info,
        long removedAtMillis) {
    /**
     * Creates a record and computes the hash of its contents.
     *
     * @param info the contents
     * @return a record with the contents' version, not a tombstone
     */
    public static MemberRecord of(NodeInfo info) {
        return of(info, RecordCodec.contentHash(info));
    }

    static MemberRecord of(NodeInfo info, int contentHash) {
        return new MemberRecord(
                info.id(),
                hash(info.id()),
                info.incarnation(),
                info.sequence(),
                contentHash,
                Optional.of(info),
                0);
    }

    static MemberRecord tombstone(
            NodeId id, long incarnation, long sequence, long removedAtMillis) {
        return new MemberRecord(
                id, hash(id), incarnation, sequence, 0, Optional.empty(), removedAtMillis);
    }

    static long hash(NodeId id) {
        return Hashing.murmur3_128().hashString(id.value(), StandardCharsets.UTF_8).asLong();
    }

    boolean removed() {
        return info.isEmpty();
    }

    /**
     * Tells whether this version replaces another one of the same node.
     *
     * @param other the currently known version
     * @return true if this version is newer
     */
    public boolean supersedes(MemberRecord other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        if (removed() != other.removed()) {
            return removed();
        }
        return Integer.compareUnsigned(contentHash, other.contentHash) > 0;
    }

    /** Hash of the version for digests; equal versions have equal hashes on all nodes. */
    int versionHash() {
        long mixed = idHash * 31 + incarnation;
        mixed = mixed * 0x9e3779b97f4a7c15L + sequence;
        mixed = mixed * 0x9e3779b97f4a7c15L + (removed() ? 1 : contentHash);
        mixed = (mixed ^ (mixed >>> 32)) * 0xd6e8feb86659fd93L;
        return (int) (mixed ^ (mixed >>> 32));
    }
}
