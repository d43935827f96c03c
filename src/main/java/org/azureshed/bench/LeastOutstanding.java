package org.azureshed.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Candidate;

/** Baseline that takes the target with the fewest outstanding requests of this entry node. */
final class LeastOutstanding implements Chooser {
    private final Map<TargetId, Integer> outstanding = new HashMap<>();
    private int start;

    LeastOutstanding(int start) {
        this.start = start;
    }

    @Override
    public Optional<Choice> choose(
            List<Candidate> candidates, Set<TargetId> tried, boolean longRunning, long nowNanos) {
        Candidate best = null;
        int fewest = Integer.MAX_VALUE;
        start++;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get((start + i) % candidates.size());
            int count = outstanding.getOrDefault(candidate.target().id(), 0);
            if (candidate.ready() && !tried.contains(candidate.target().id()) && count < fewest) {
                best = candidate;
                fewest = count;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        outstanding.merge(best.target().id(), 1, Integer::sum);
        return Optional.of(new Counted(best));
    }

    /** A choice that counts as outstanding until it is answered. */
    private final class Counted implements Choice {
        private final Candidate candidate;

        Counted(Candidate candidate) {
            this.candidate = candidate;
        }

        @Override
        public Candidate candidate() {
            return candidate;
        }

        @Override
        public void answered(Optional<LoadReport> report, long nowNanos) {
            outstanding.merge(candidate.target().id(), -1, Integer::sum);
        }
    }
}
