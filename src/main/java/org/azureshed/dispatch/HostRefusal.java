package org.azureshed.dispatch;

import org.azureshed.model.RefusalReason;

/**
 * The host side's answer that a request did not run and never will.
 *
 * @param reason why
 * @param waitMillis estimated time until a slot is free
 * @param suspect whether the target was passed over because it fails many requests
 */
public record HostRefusal(RefusalReason reason, long waitMillis, boolean suspect) {}
