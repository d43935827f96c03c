package org.azureshed.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Candidate;

/** Baseline that chooses the target with the fewest outstanding requests of this entry node. */
final class LeastOutstanding implements LoadBalancer {
    private final Map<TargetId, Integer> outstanding = new HashMap<>();

    /** Where the scan starts; advances each time, so that ties go to different targets. */
    private int firstIndex;

    LeastOutstanding(int firstIndex) {
        this.firstIndex = firstIndex;
    }

    @Override
    public Optional<Choice> choose(
            List<Candidate> candidates, Set<TargetId> tried, boolean longRunning, long nowNanos) {
        Candidate best = null;
        int fewest = Integer.MAX_VALUE;
        firstIndex++;
        for (int i = 0; i < candidates.size(); i++) {
            Candidate candidate = candidates.get((firstIndex + i) % candidates.size());
            int outstandingCount = outstanding.getOrDefault(candidate.target().id(), 0);
            if (candidate.ready()
                    && !tried.contains(candidate.target().id())
                    && outstandingCount < fewest) {
                best = candidate;
                fewest = outstandingCount;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        outstanding.merge(best.target().id(), 1, Integer::sum);
        return Optional.of(new CountedChoice(best));
    }

    /** A choice that counts as outstanding until it is completed. */
    private final class CountedChoice implements Choice {
        private final Candidate candidate;

        CountedChoice(Candidate candidate) {
            this.candidate = candidate;
        }

        @Override
        public Candidate candidate() {
            return candidate;
        }

        @Override
        public void complete(Optional<LoadReport> report, long nowNanos) {
            outstanding.merge(candidate.target().id(), -1, Integer::sum);
        }
    }
}
