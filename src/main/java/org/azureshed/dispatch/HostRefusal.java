package org.azureshed.dispatch;

import org.azureshed.model.RefusalReason;

/**
 * The host side's refusal of an offered request, which did not run and will not run.
 *
 * @param reason reason of the refusal
 * @param waitMillis estimated time in milliseconds until a slot is free; 0 if not estimated
 * @param suspect whether the request was refused because the target fails many requests
 */
public record HostRefusal(RefusalReason reason, long waitMillis, boolean suspect) {}
