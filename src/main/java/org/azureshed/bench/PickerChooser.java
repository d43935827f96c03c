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

/** The fleet's own choice of targets. */
final class PickerChooser implements Chooser {
    private static final int FULL_WEIGHT = 100;

    private final TargetPicker picker;
    private final int entryNodes;
    private final SplittableRandom random;

    PickerChooser(NodeInfo self, int entryNodes, long seed) {
        picker = new TargetPicker(self);
        this.entryNodes = entryNodes;
        random = new SplittableRandom(seed);
    }

    @Override
    public Optional<Choice> choose(
            List<Candidate> candidates, Set<TargetId> tried, boolean longRunning, long nowNanos) {
        PickRequest request =
                new PickRequest(
                        candidates, entryNodes, tried, Set.of(), longRunning, id -> FULL_WEIGHT);
        return picker.pick(request, random.nextLong(), nowNanos).map(Picked::new);
    }

    /** A choice of the picker. */
    private record Picked(Pick pick) implements Choice {
        @Override
        public Candidate candidate() {
            return pick.candidate();
        }

        @Override
        public void answered(Optional<LoadReport> report, long nowNanos) {
            report.ifPresent(load -> pick.report(load, nowNanos));
            pick.finish();
        }
    }
}
