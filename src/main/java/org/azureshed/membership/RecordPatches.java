package org.azureshed.membership;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.generated.RecordPatch;
import org.azureshed.generated.StatusChange;
import org.azureshed.generated.TargetRecord;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;

/** Computes and applies patches between two versions of a record. */
final class RecordPatches {
    private RecordPatches() {}

    /** Returns the patch, or empty if the whole record has to be sent. */
    static Optional<RecordPatch> between(MemberRecord before, MemberRecord after) {
        if (before.removed() || after.removed() || before.incarnation() != after.incarnation()) {
            return Optional.empty();
        }
        NodeInfo old = before.info().get();
        NodeInfo next = after.info().get();
        RecordPatch.Builder patch =
                RecordPatch.newBuilder()
                        .setId(after.id().value())
                        .setIncarnation(after.incarnation())
                        .setBaseSequence(before.sequence())
                        .setSequence(after.sequence())
                        .setContentHash(after.contentHash())
                        .setDraining(next.draining());
        Map<TargetId, TargetInfo> rest = byId(old.targets());
        for (TargetInfo target : next.targets()) {
            TargetInfo known = rest.remove(target.id());
            if (known != null && target.equals(known.withState(target.state()))) {
                if (!target.equals(known)) {
                    patch.addStatusChanges(
                            StatusChange.newBuilder()
                                    .setIndex(old.targets().indexOf(known))
                                    .setStatus(RecordCodec.status(target.state())));
                }
            } else {
                patch.addTargets(RecordCodec.encode(target));
            }
        }
        rest.keySet().forEach(id -> patch.addRemovedTargets(id.value()));
        RecordPatch built = patch.build();
        // A patch cannot express a new target order or node address, so the result is verified.
        return apply(before, built).isPresent() ? Optional.of(built) : Optional.empty();
    }

    /** Returns the patched record, or empty if the patch does not apply to this base. */
    static Optional<MemberRecord> apply(MemberRecord base, RecordPatch patch) {
        if (base.removed()
                || base.incarnation() != patch.getIncarnation()
                || base.sequence() != patch.getBaseSequence()) {
            return Optional.empty();
        }
        NodeInfo old = base.info().get();
        Map<TargetId, TargetInfo> targets = byId(old.targets());
        try {
            for (StatusChange change : patch.getStatusChangesList()) {
                if (change.getIndex() < 0 || change.getIndex() >= old.targets().size()) {
                    return Optional.empty();
                }
                TargetInfo target = old.targets().get(change.getIndex());
                targets.remove(target.id());
                targets.put(target.id(), target.withState(RecordCodec.state(change.getStatus())));
            }
            for (TargetRecord target : patch.getTargetsList()) {
                TargetInfo decoded = RecordCodec.decode(target);
                targets.remove(decoded.id());
                targets.put(decoded.id(), decoded);
            }
            patch.getRemovedTargetsList().forEach(id -> targets.remove(new TargetId(id)));
        } catch (IllegalArgumentException ignored) {
            // Nodes of another software version may send values that this version rejects.
            return Optional.empty();
        }
        NodeInfo next =
                new NodeInfo(
                        old.id(),
                        old.region(),
                        old.availabilityZone(),
                        old.entry(),
                        old.host(),
                        old.control(),
                        old.incarnation(),
                        patch.getSequence(),
                        patch.getDraining(),
                        List.copyOf(targets.values()));
        return RecordCodec.contentHash(next) == patch.getContentHash()
                ? Optional.of(MemberRecord.of(next, patch.getContentHash()))
                : Optional.empty();
    }

    private static Map<TargetId, TargetInfo> byId(List<TargetInfo> targets) {
        Map<TargetId, TargetInfo> byId = new LinkedHashMap<>();
        targets.forEach(target -> byId.put(target.id(), target));
        return byId;
    }
}
