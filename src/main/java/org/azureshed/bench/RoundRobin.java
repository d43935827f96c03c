package org.azureshed.bench;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Candidate;

/** Baseline that chooses the ready targets in turn. */
final class RoundRobin implements LoadBalancer {
    private int nextIndex;

    RoundRobin(int firstIndex) {
        nextIndex = firstIndex;
    }

    @Override
    public Optional<Choice> choose(
            List<Candidate> candidates, Set<TargetId> tried, boolean longRunning, long nowNanos) {
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get(nextIndex++ % candidates.size());
            if (candidate.ready() && !tried.contains(candidate.target().id())) {
                return Optional.of(new RoundRobinChoice(candidate));
            }
        }
        return Optional.empty();
    }

    /** A choice without bookkeeping. */
    private record RoundRobinChoice(Candidate candidate) implements Choice {
        @Override
        public void complete(Optional<LoadReport> report, long nowNanos) {
            // The next target does not depend on answers.
        }
    }
}
