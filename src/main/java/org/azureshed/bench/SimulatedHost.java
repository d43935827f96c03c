package org.azureshed.bench;

import java.util.Optional;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.RefusalReason;

/** The host side and target of one node of a simulation. */
interface SimulatedHost {
    /** Takes in a request and answers it, possibly later. */
    void offer(SimulatedRequest request, long deadlineNanos, Answer answer);

    /** Receives the end of one attempt. */
    interface Answer {
        /** Ends the attempt; a refusal means that it did not run. */
        void end(Optional<RefusalReason> refusal, Optional<LoadReport> report);
    }
}
