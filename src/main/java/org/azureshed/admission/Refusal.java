package org.azureshed.admission;

import org.azureshed.model.RefusalReason;

/**
 * The request was refused and has not run.
 *
 * @param reason why
 * @param retryAfterMillis estimate of when a slot is free for such a request, in milliseconds
 */
public record Refusal(RefusalReason reason, long retryAfterMillis) implements Decision {}
