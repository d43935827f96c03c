package org.azureshed.quota;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How far the requests that run for an organisation may exceed its limit. In each window at most
 * {@code (rate * window + burst) * (1 + overRatio) + slack} of them may run.
 *
 * @param windowSeconds length of the sliding window in seconds
 * @param overRatio tolerated excess relative to the limit, 0 or more
 * @param slack tolerated excess in requests, 0 or more
 */
public record QuotaBounds(double windowSeconds, double overRatio, double slack) {
    /**
     * Changes of the granting node within one window that the slack must cover. Each successor may
     * grant a part of the slack at once, so that a change refuses nobody who is within the limit.
     */
    private static final int SUCCESSORS_PER_WINDOW = 4;

    /** Checks the arguments. */
    public QuotaBounds {
        checkArgument(windowSeconds > 0, "the quota window must be longer than 0 s");
        checkArgument(overRatio >= 0, "the excess ratio of quotas must not be negative");
        checkArgument(slack >= 0, "the slack of quotas must not be negative");
    }

    /** Returns the requests that a successor may grant before its rate allows them. */
    double successorAllowance() {
        return slack / SUCCESSORS_PER_WINDOW;
    }
}
