package org.azureshed.host;

import java.util.List;
import org.azureshed.dispatch.HostRefusal;

/** The host side's decision about an offered request. */
public sealed interface AdmissionDecision {
    /** A slot is reserved for the request. */
    record Admitted() implements AdmissionDecision {}

    /**
     * The request waits in the queue for a slot.
     *
     * @param displaced refusals of waiting requests that follow from this decision
     */
    record Queued(List<HostGate.QueueDecision> displaced) implements AdmissionDecision {}

    /**
     * The request does not run.
     *
     * @param refusal reason and state of the target
     */
    record Refused(HostRefusal refusal) implements AdmissionDecision {}
}
