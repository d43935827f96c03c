package org.azureshed.membership;

import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.generated.Address;
import org.azureshed.generated.NodeRecord;
import org.azureshed.generated.TargetRecord;
import org.azureshed.generated.TargetStatus;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/** Converts node records to and from protobuf. */
final class RecordCodec {
    private RecordCodec() {}

    static NodeRecord encode(MemberRecord record, long nowMillis) {
        if (record.removed()) {
            long age = Math.max(0, nowMillis - record.removedAtMillis()) / 1_000;
            return NodeRecord.newBuilder()
                    .setId(record.id().value())
                    .setIncarnation(record.incarnation())
                    .setSequence(record.sequence())
                    .setRemoved(true)
                    .setRemovedAgeSeconds((int) Math.min(age, Integer.MAX_VALUE))
                    .build();
        }
        return contents(record.info().get()).setContentHash(record.contentHash()).build();
    }

    /** Decodes a record; empty if it is malformed. */
    static Optional<MemberRecord> decode(NodeRecord record, long nowMillis) {
        try {
            if (record.getRemoved()) {
                long removedAt = nowMillis - 1_000L * record.getRemovedAgeSeconds();
                return Optional.of(
                        MemberRecord.tombstone(
                                new NodeId(record.getId()),
                                record.getIncarnation(),
                                record.getSequence(),
                                removedAt));
            }
            return Optional.of(MemberRecord.of(info(record), record.getContentHash()));
        } catch (IllegalArgumentException ignored) {
            // Nodes of another software version may send values that this version rejects.
            return Optional.empty();
        }
    }

    static int contentHash(NodeInfo info) {
        byte[] bytes = contents(info).build().toByteArray();
        return Hashing.murmur3_32_fixed().hashBytes(bytes).asInt();
    }

    static Address address(Endpoint endpoint) {
        return Address.newBuilder().setHost(endpoint.host()).setPort(endpoint.port()).build();
    }

    static Endpoint endpoint(Address address) {
        return new Endpoint(address.getHost(), address.getPort());
    }

    private static NodeRecord.Builder contents(NodeInfo info) {
        NodeRecord.Builder builder =
                NodeRecord.newBuilder()
                        .setId(info.id().value())
                        .setIncarnation(info.incarnation())
                        .setSequence(info.sequence())
                        .setRegion(info.region())
                        .setAvailabilityZone(info.availabilityZone())
                        .setEntry(address(info.entry()))
                        .setHost(address(info.host()))
                        .setControl(address(info.control()))
                        .setDraining(info.draining());
        for (TargetInfo target : info.targets()) {
            builder.addTargets(encode(target));
        }
        return builder;
    }

    static TargetRecord encode(TargetInfo target) {
        return TargetRecord.newBuilder()
                .setId(target.id().value())
                .setService(target.service())
                .setAddress(address(target.address()))
                .setSlots(target.slots())
                .setStatus(status(target.state()))
                .build();
    }

    static TargetInfo decode(TargetRecord target) {
        return new TargetInfo(
                new TargetId(target.getId()),
                target.getService(),
                endpoint(target.getAddress()),
                target.getSlots(),
                state(target.getStatus()));
    }

    private static NodeInfo info(NodeRecord record) {
        List<TargetInfo> targets = new ArrayList<>();
        for (TargetRecord target : record.getTargetsList()) {
            targets.add(decode(target));
        }
        return new NodeInfo(
                new NodeId(record.getId()),
                record.getRegion(),
                record.getAvailabilityZone(),
                endpoint(record.getEntry()),
                endpoint(record.getHost()),
                endpoint(record.getControl()),
                record.getIncarnation(),
                record.getSequence(),
                record.getDraining(),
                targets);
    }

    static TargetStatus status(TargetState state) {
        return switch (state) {
            case STARTING -> TargetStatus.TARGET_STATUS_STARTING;
            case READY -> TargetStatus.TARGET_STATUS_READY;
            case DRAINING -> TargetStatus.TARGET_STATUS_DRAINING;
        };
    }

    static TargetState state(TargetStatus status) {
        return switch (status) {
            case TARGET_STATUS_STARTING -> TargetState.STARTING;
            case TARGET_STATUS_READY -> TargetState.READY;
            case TARGET_STATUS_DRAINING -> TargetState.DRAINING;
            case UNRECOGNIZED ->
                    throw new IllegalArgumentException("status of a target is unknown");
        };
    }
}
