package org.azureshed.bench;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Candidate;

/** Chooses the targets of requests at one entry node of a simulation. */
interface LoadBalancer {
    /**
     * Chooses a target.
     *
     * @param candidates all targets, in any state; the same list object as long as none has changed
     * @param tried targets of earlier attempts of the request; they are not chosen again
     * @param longRunning whether the request's class is declared as long-running
     * @param nowNanos current virtual time
     * @return the choice; empty if no ready target is left
     */
    Optional<Choice> choose(
            List<Candidate> candidates, Set<TargetId> tried, boolean longRunning, long nowNanos);

    /** A chosen target; it has an outstanding request until {@link #complete}. */
    interface Choice {
        Candidate candidate();

        /**
         * Ends the request.
         *
         * @param report load report in the answer; empty from hosts without admission
         */
        void complete(Optional<LoadReport> report, long nowNanos);
    }
}
