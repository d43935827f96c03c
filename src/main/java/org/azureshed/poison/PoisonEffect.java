package org.azureshed.poison;

import java.util.List;
import org.azureshed.model.TargetId;

/** Something that the shell has to carry out for the poison reducer. */
public sealed interface PoisonEffect {
    /**
     * Replaces the view that traffic threads read.
     *
     * @param view the new view
     */
    record PublishView(PoisonView view) implements PoisonEffect {}

    /**
     * Spreads entries that this node added or cleared.
     *
     * @param entries the entries
     */
    record Spread(List<SuspectEntry> entries) implements PoisonEffect {
        /** Copies the list. */
        public Spread {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Reports that a target crashes again and again without a common request, so that it is ejected
     * as sick.
     *
     * @param service its service
     * @param target the target
     * @param crashes number of unexplained crashes
     */
    record CrashLoop(String service, TargetId target, int crashes) implements PoisonEffect {}
}
