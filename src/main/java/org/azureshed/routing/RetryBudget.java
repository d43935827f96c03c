package org.azureshed.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Retry budget of one service at one entry node. Thread-safe.
 *
 * <p>Each first attempt adds {@code retryPercent / 100} of a token and each retry takes one, so
 * retries cannot multiply the load of a failing service. In addition, {@value #MINIMUM_PER_SECOND}
 * token is added per second, so that a service with little traffic can retry too.
 */
public final class RetryBudget {
    static final double MINIMUM_PER_SECOND = 1;

    /** Enough to retry the requests of one failed target at once; further tokens are discarded. */
    static final double MAX_TOKENS = 20;

    private static final double INITIAL_TOKENS = 5;
    private static final double PERCENT = 100;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ReentrantLock lock = new ReentrantLock();
    private double tokens = INITIAL_TOKENS;
    private long refilledAtNanos;

    /**
     * Creates a budget with its initial tokens.
     *
     * @param nowNanos current time
     */
    public RetryBudget(long nowNanos) {
        refilledAtNanos = nowNanos;
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param retryPercent retries allowed per 100 requests, from the active policy
     */
    public void requestStarted(int retryPercent) {
        checkArgument(retryPercent >= 0, "retryPercent must not be negative");
        lock.lock();
        try {
            tokens = Math.min(MAX_TOKENS, tokens + retryPercent / PERCENT);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes one token for a retry.
     *
     * @param nowNanos current time
     * @return true if a token was available, so the retry is allowed
     */
    public boolean tryRetry(long nowNanos) {
        lock.lock();
        try {
            double seconds = Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
            refilledAtNanos = nowNanos;
            tokens = Math.min(MAX_TOKENS, tokens + seconds * MINIMUM_PER_SECOND);
            if (tokens < 1) {
                return false;
            }
            tokens--;
            return true;
        } finally {
            lock.unlock();
        }
    }
}
