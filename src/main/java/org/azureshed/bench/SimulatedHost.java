package org.azureshed.bench;

import java.util.Optional;
import org.azureshed.admission.LoadReport;
import org.azureshed.model.RefusalReason;

/** The host side of one simulated node, and its only target. */
interface SimulatedHost {
    /**
     * Accepts or refuses a request. The callback is called once, possibly later.
     *
     * @param deadlineNanos virtual time by which the answer must leave the host
     */
    void submit(SimulatedRequest request, long deadlineNanos, AttemptCallback callback);

    /** Receives the result of one attempt. */
    interface AttemptCallback {
        /**
         * Ends the attempt.
         *
         * @param refusal reason if the request was refused without having run
         * @param report load of the target; empty from hosts without admission
         */
        void completed(Optional<RefusalReason> refusal, Optional<LoadReport> report);
    }
}
