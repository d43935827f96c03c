package org.azureshed.quota;

/** Whether a request is within the limit of its organisation. */
public sealed interface QuotaDecision {
    /** The request may run. */
    record Granted() implements QuotaDecision {}

    /**
     * The request exceeds the limit.
     *
     * @param retryAfterMillis time in milliseconds after which the limit has room for it
     */
    record Refused(long retryAfterMillis) implements QuotaDecision {}
}
