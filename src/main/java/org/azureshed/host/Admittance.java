package org.azureshed.host;

import org.azureshed.dispatch.HostRefusal;

/** What becomes of an offered request. */
public sealed interface Admittance {
    /** A slot is reserved for it. */
    record Admitted() implements Admittance {}

    /** It waits for a slot. */
    record Queued() implements Admittance {}

    /**
     * It does not run.
     *
     * @param refusal why
     */
    record Refused(HostRefusal refusal) implements Admittance {}
}
