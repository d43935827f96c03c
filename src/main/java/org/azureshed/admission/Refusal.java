package org.azureshed.admission;

import org.azureshed.model.RefusalReason;

/**
 * The request was refused and has not run.
 *
 * @param reason why it was refused
 * @param retryAfterMillis estimated time until a slot is free for such a request, in milliseconds;
 *     0 if unknown
 */
public record Refusal(RefusalReason reason, long retryAfterMillis) implements Decision {}
