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
 * Compares the serving slots of a service with its floor, the smallest part of its announced slots
 * that has to keep serving. Ejections must not break the floor. Only ready targets serve; a target
 * that is being readmitted serves with its stage's share of its slots.
 */
public final class FloorCheck {
    private static final long PERCENT = 100;

    private final Map<TargetId, TargetView> targets;

    /** Slots that have to keep serving, in hundredths of a slot. */
    private final long floor;

    /**
     * Creates a check.
     *
     * @param targets all announced targets of the service, in any state
     * @param floorPercent percentage of their slots that must serve, 0 to 100
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
     * @return true if the targets of the record may be ejected
     */
    public boolean holds(EjectionRecord record) {
        return serving(record) >= floor;
    }

    /**
     * Removes the entries that break the floor, the least severe first. The agreed record may be
     * older than the latest drains, which leave fewer serving slots.
     *
     * @param record the agreed record
     * @return the record without the removed entries
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

    /** The ready target with the least severe evidence, apart from those with their full share. */
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

    /** Slots that serve, in hundredths of a slot. */
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
