package org.azureshed.quota;

import java.util.concurrent.TimeUnit;

/** Token bucket of one organisation at the node that grants its requests. */
final class GrantBucket {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** Longest wait that a refusal names; callers seldom wait longer for one answer. */
    private static final long MAX_RETRY_AFTER_MILLIS = 10_000;

    /** Shorter waits would cost more requests than they save time. */
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    private QuotaLimit limit;
    private double tokens;
    private long updatedNanos;

    /** Time at which the latest refused request was told to come back. */
    private long lastReturnNanos;

    GrantBucket(QuotaLimit limit, double tokens, long sinceNanos) {
        this.limit = limit;
        this.tokens = Math.min(tokens, capacity(1));
        this.updatedNanos = sinceNanos;
        this.lastReturnNanos = sinceNanos;
    }

    /** Applies a limit unless a newer one is known. */
    void apply(QuotaLimit announced) {
        if (announced.version() > limit.version()) {
            limit = announced;
            tokens = Math.min(tokens, capacity(1));
        }
    }

    /**
     * Grants a request if there is a token. Refused requests are told to come back one after the
     * other, at the rate of the limit, so that they do not return together.
     *
     * @param share part of the limit that this node may grant, above 0 and up to 1
     */
    QuotaDecision take(double share, long nowNanos) {
        refill(share, nowNanos);
        // A part of a token is enough: requests at exactly the rate differ by some milliseconds.
        if (tokens > 0) {
            tokens--;
            return new QuotaDecision.Granted();
        }
        double rate = limit.requestsPerSecond() * share / NANOS_PER_SECOND;
        long firstNanos = nowNanos + (long) (-tokens / rate);
        long nextNanos = lastReturnNanos + (long) (1 / rate);
        lastReturnNanos = nextNanos - firstNanos > 0 ? nextNanos : firstNanos;
        long millis = TimeUnit.NANOSECONDS.toMillis(lastReturnNanos - nowNanos);
        if (millis > MAX_RETRY_AFTER_MILLIS) {
            lastReturnNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(MAX_RETRY_AFTER_MILLIS);
        }
        return new QuotaDecision.Refused(
                Math.clamp(millis, MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS));
    }

    /** Whether requests come so fast that they may soon reach the limit. */
    boolean nearLimit(long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        return tokens + limit.requestsPerSecond() * seconds < capacity(1) / 2;
    }

    double tokens(double share, long nowNanos) {
        refill(share, nowNanos);
        return tokens;
    }

    /** Takes over the tokens of another node that granted requests at the same time. */
    void reduceTo(double most, long nowNanos) {
        tokens = Math.min(tokens, most);
        updatedNanos = nowNanos;
    }

    private void refill(double share, long nowNanos) {
        double seconds = (nowNanos - updatedNanos) / NANOS_PER_SECOND;
        double filled = tokens + limit.requestsPerSecond() * share * seconds;
        tokens = Math.min(capacity(share), filled);
        updatedNanos = nowNanos;
    }

    /** Without room for one token, a limit without a burst would never grant a request. */
    private double capacity(double share) {
        return Math.max(1, limit.burst() * share);
    }
}
