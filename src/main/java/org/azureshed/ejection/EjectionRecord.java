package org.azureshed.ejection;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.model.TargetId;

/**
 * Content of the platform object {@code ejection/<service>}.
 *
 * @param service name of the service
 * @param targets targets that are ejected or being readmitted; all others receive their full share
 */
public record EjectionRecord(String service, List<EjectedTarget> targets) {
    /** Copies the list. */
    public EjectionRecord {
        targets = List.copyOf(targets);
    }

    /**
     * A record without ejected targets.
     *
     * @param service name of the service
     * @return a record that gives each target its full share
     */
    public static EjectionRecord empty(String service) {
        return new EjectionRecord(service, List.of());
    }

    /**
     * Finds the entry of a target.
     *
     * @param target target of any state
     * @return its entry, or empty if it receives its full share
     */
    public Optional<EjectedTarget> find(TargetId target) {
        return targets.stream().filter(entry -> entry.target().equals(target)).findFirst();
    }

    /**
     * The share of requests that a target receives according to this record.
     *
     * @param target target of any state
     * @return percent of its usual share, 0 to 100
     */
    public int percentOf(TargetId target) {
        return find(target).map(entry -> entry.stage().percent()).orElse(100);
    }

    EjectionRecord without(TargetId target) {
        return new EjectionRecord(
                service, targets.stream().filter(entry -> !entry.target().equals(target)).toList());
    }

    EjectionRecord with(EjectedTarget entry) {
        List<EjectedTarget> next = new ArrayList<>(without(entry.target()).targets());
        next.add(entry);
        return new EjectionRecord(service, next);
    }
}
