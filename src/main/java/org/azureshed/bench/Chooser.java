package org.azureshed.bench;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Candidate;

/** How one entry node of a simulation chooses targets. */
interface Chooser {
    /**
     * Chooses a target.
     *
     * @param candidates all targets, the same list as long as nothing has changed
     * @param tried targets of earlier attempts
     * @param longRunning whether the request is declared as long work
     * @param nowNanos virtual time
     * @return the choice; empty if none is left
     */
    Optional<Choice> choose(
            List<Candidate> candidates, Set<TargetId> tried, boolean longRunning, long nowNanos);

    /** A chosen target. */
    interface Choice {
        Candidate candidate();

        /** Takes in the answer, with the load report of a host that sends one. */
        void answered(Optional<LoadReport> report, long nowNanos);
    }
}
