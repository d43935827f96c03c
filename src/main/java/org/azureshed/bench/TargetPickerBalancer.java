package org.azureshed.bench;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetId;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.Pick;
import org.azureshed.routing.PickRequest;
import org.azureshed.routing.TargetPicker;

/** Chooses targets as a real entry node does, with a {@link TargetPicker}. */
final class TargetPickerBalancer implements LoadBalancer {
    /** No target is ejected. */
    private static final int FULL_WEIGHT_PERCENT = 100;

    private final TargetPicker picker;
    private final int entryNodeCount;
    private final SplittableRandom random;

    TargetPickerBalancer(NodeInfo self, int entryNodeCount, long seed) {
        picker = new TargetPicker(self);
        this.entryNodeCount = entryNodeCount;
        random = new SplittableRandom(seed);
    }

    @Override
    public Optional<Choice> choose(
            List<Candidate> candidates, Set<TargetId> tried, boolean longRunning, long nowNanos) {
        PickRequest request =
                new PickRequest(
                        candidates,
                        entryNodeCount,
                        tried,
                        Set.of(),
                        longRunning,
                        id -> FULL_WEIGHT_PERCENT);
        return picker.pick(request, random.nextLong(), nowNanos).map(PickerChoice::new);
    }

    /** A choice that reports load and completion to the picker. */
    private record PickerChoice(Pick pick) implements Choice {
        @Override
        public Candidate candidate() {
            return pick.candidate();
        }

        @Override
        public void complete(Optional<LoadReport> report, long nowNanos) {
            report.ifPresent(load -> pick.report(load, nowNanos));
            pick.finish();
        }
    }
}
