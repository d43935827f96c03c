package org.azureshed.idempotency.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.azureshed.generated.RecordHandover;
import org.azureshed.idempotency.HandOver;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.KeyRangeLease;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.model.NodeId;

/** Splits hand-overs into messages and reassembles them. */
final class HandOverParts {
    /** Keeps a message below its limit of 1 MiB, because a record has up to about 9 KB. */
    private static final int RECORDS_PER_PART = 100;

    private final Function<KeyRange, Optional<KeyRangeLease>> leases;
    private final Map<Integer, List<RecordHandover>> incomplete = new ConcurrentHashMap<>();

    HandOverParts(Function<KeyRange, Optional<KeyRangeLease>> leases) {
        this.leases = leases;
    }

    static List<RecordHandover> split(HandOver handOver) {
        List<RecordHandover> parts = new ArrayList<>();
        List<HandOver.Entry> records = handOver.records();
        int from = 0;
        do {
            int to = Math.min(records.size(), from + RECORDS_PER_PART);
            RecordHandover.Builder part =
                    RecordHandover.newBuilder()
                            .setRange(handOver.lease().range().number())
                            .setEpoch(handOver.lease().epoch())
                            .setSender(handOver.lease().holder().node().value())
                            .setSenderIncarnation(handOver.lease().holder().incarnation())
                            .setVersion(handOver.version())
                            .setPart(parts.size())
                            .setLast(to == records.size())
                            .setCompleteFromMillis(handOver.completeSinceMillis());
            records.subList(from, to).forEach(r -> part.addRecords(KeyMessages.encode(r)));
            parts.add(part.build());
            from = to;
        } while (from < records.size());
        return parts;
    }

    /**
     * Adds one part. Parts of one range arrive in order, because the sender waits for each reply.
     *
     * @return the hand-over if this is its last part; empty for earlier parts, if a part is
     *     missing, or if this node does not know the sender's lease
     */
    synchronized Optional<HandOver> add(RecordHandover part) {
        List<RecordHandover> parts =
                incomplete.computeIfAbsent(part.getRange(), range -> new ArrayList<>());
        if (part.getPart() == 0) {
            parts.clear();
        }
        boolean inOrder =
                part.getPart() == parts.size()
                        && (parts.isEmpty()
                                || (parts.getFirst().getEpoch() == part.getEpoch()
                                        && sender(parts.getFirst()).equals(sender(part))));
        if (!inOrder) {
            return Optional.empty();
        }
        parts.add(part);
        if (!part.getLast()) {
            return Optional.empty();
        }
        incomplete.remove(part.getRange());
        return leases.apply(new KeyRange(part.getRange()))
                .filter(lease -> lease.epoch() == part.getEpoch())
                .filter(lease -> lease.holder().equals(sender(part)))
                .map(lease -> join(lease, parts));
    }

    /**
     * The sender with its incarnation. Epochs repeat after the platform was restored from an older
     * copy, so only the incarnation distinguishes a late hand-over from one of the current holder.
     * Nodes of an older version send incarnation 0, which no holder has; their successors wait as
     * after a failure of the owner.
     */
    private static NodeInstance sender(RecordHandover part) {
        return new NodeInstance(new NodeId(part.getSender()), part.getSenderIncarnation());
    }

    private static HandOver join(KeyRangeLease lease, List<RecordHandover> parts) {
        List<HandOver.Entry> records =
                parts.stream()
                        .flatMap(part -> part.getRecordsList().stream())
                        .map(KeyMessages::decode)
                        .toList();
        return new HandOver(
                lease,
                parts.getFirst().getVersion(),
                parts.getFirst().getCompleteFromMillis(),
                0,
                records);
    }
}
