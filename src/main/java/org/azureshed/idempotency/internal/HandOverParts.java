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

/** Splits hand-overs into messages and puts them together again. */
final class HandOverParts {
    /** A record has at most about 9 KB, a message at most 1 MiB. */
    private static final int RECORDS_IN_PART = 100;

    private final Function<KeyRange, Optional<KeyRangeLease>> leases;
    private final Map<Integer, List<RecordHandover>> open = new ConcurrentHashMap<>();

    HandOverParts(Function<KeyRange, Optional<KeyRangeLease>> leases) {
        this.leases = leases;
    }

    static List<RecordHandover> split(HandOver handOver) {
        List<RecordHandover> parts = new ArrayList<>();
        List<HandOver.Entry> records = handOver.records();
        int from = 0;
        do {
            int to = Math.min(records.size(), from + RECORDS_IN_PART);
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
     * Takes one part. Parts of one range arrive in order, because the sender waits for each reply.
     *
     * @return the hand-over after its last part; empty before, and if the lease of the sender is
     *     not known here or a part is missing
     */
    synchronized Optional<HandOver> add(RecordHandover part) {
        List<RecordHandover> parts =
                open.computeIfAbsent(part.getRange(), range -> new ArrayList<>());
        if (part.getPart() == 0) {
            parts.clear();
        }
        boolean next =
                part.getPart() == parts.size()
                        && (parts.isEmpty()
                                || (parts.getFirst().getEpoch() == part.getEpoch()
                                        && sender(parts.getFirst()).equals(sender(part))));
        if (!next) {
            return Optional.empty();
        }
        parts.add(part);
        if (!part.getLast()) {
            return Optional.empty();
        }
        open.remove(part.getRange());
        return leases.apply(new KeyRange(part.getRange()))
                .filter(lease -> lease.epoch() == part.getEpoch())
                .filter(lease -> lease.holder().equals(sender(part)))
                .map(lease -> joined(lease, parts));
    }

    /**
     * Epochs start anew after the platform was restored from an older copy, so only the incarnation
     * tells a late hand-over from one of the current holder. Nodes of an older version send 0,
     * which is no holder's; their successors take over as from a dead owner.
     */
    private static NodeInstance sender(RecordHandover part) {
        return new NodeInstance(new NodeId(part.getSender()), part.getSenderIncarnation());
    }

    private static HandOver joined(KeyRangeLease lease, List<RecordHandover> parts) {
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
