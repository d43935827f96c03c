package org.azureshed.bench;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Candidate;

/** Baseline that takes the ready targets in turn. */
final class RoundRobin implements Chooser {
    private int next;

    RoundRobin(int start) {
        next = start;
    }

    @Override
    public Optional<Choice> choose(
            List<Candidate> candidates, Set<TargetId> tried, boolean longRunning, long nowNanos) {
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(next++ % candidates.size());
            if (candidate.ready() && !tried.contains(candidate.target().id())) {
                return Optional.of(new Turn(candidate));
            }
        }
        return Optional.empty();
    }

    /** A choice that keeps no account. */
    private record Turn(Candidate candidate) implements Choice {
        @Override
        public void answered(Optional<LoadReport> report, long nowNanos) {
            // The turn does not depend on answers.
        }
    }
}
