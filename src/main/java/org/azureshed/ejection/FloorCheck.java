package org.azureshed.ejection;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.azureshed.model.TargetId;

/**
 * Compares the slots that serve with the floor of a service. Only ready targets serve; a ramping
 * target serves with its stage's share of its slots.
 */
public final class FloorCheck {
    private static final long PERCENT = 100;

    private final Map<TargetId, TargetView> targets;
    private final long floor;

    /**
     * Creates a check.
     *
     * @param targets all announced targets of the service, in any state
     * @param floorPercent share of their slots that must serve, 0 to 100
     */
    public FloorCheck(Collection<TargetView> targets, int floorPercent) {
        this.targets =
                targets.stream().collect(Collectors.toMap(TargetView::id, Function.identity()));
        long announced = targets.stream().mapToLong(TargetView::slots).sum();
        this.floor = announced * floorPercent;
    }

    /**
     * Whether the serving slots reach the floor.
     *
     * @param record the ejected targets
     * @return true if ejection leaves enough
     */
    public boolean holds(EjectionRecord record) {
        return serving(record) >= floor;
    }

    /**
     * The targets to treat as ejected by this node's own view. The agreed record may be older than
     * the newest drains; entries are then ignored, the least bad first, until the floor holds.
     *
     * @param record the agreed record
     * @return the record without the ignored entries
     */
    public EjectionRecord enforce(EjectionRecord record) {
        EjectionRecord enforced = record;
        while (!holds(enforced)) {
            Optional<EjectedTarget> next = leastSevere(enforced);
            if (next.isEmpty()) {
                return enforced;
            }
            enforced = enforced.without(next.get().target());
        }
        return enforced;
    }

    /** The ready target that does the least harm when it serves again. */
    Optional<EjectedTarget> leastSevere(EjectionRecord record) {
        List<EjectedTarget> candidates = new ArrayList<>();
        for (EjectedTarget entry : record.targets()) {
            TargetView view = targets.get(entry.target());
            if (view != null && view.ready() && entry.stage() != Stage.FULL) {
                candidates.add(entry);
            }
        }
        return candidates.stream()
                .min(
                        Comparator.comparingDouble(
                                        (EjectedTarget entry) -> entry.evidence().severity())
                                .thenComparing(EjectedTarget::target));
    }

    private long serving(EjectionRecord record) {
        long serving = 0;
        for (TargetView target : targets.values()) {
            if (target.ready()) {
                serving += target.slots() * PERCENT;
            }
        }
        for (EjectedTarget entry : record.targets()) {
            TargetView target = targets.get(entry.target());
            if (target != null && target.ready()) {
                serving -= target.slots() * (PERCENT - entry.stage().percent());
            }
        }
        return serving;
    }
}
