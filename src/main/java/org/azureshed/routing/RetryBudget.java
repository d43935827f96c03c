package org.azureshed.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;

/**
 * Bounds the retries of one service at one entry node. Thread-safe.
 *
 * <p>Each first attempt adds {@code retryPercent / 100} of a token and each retry takes one, so
 * that retries cannot multiply the load of a failing service. A service with little traffic has
 * {@value #MINIMUM_PER_SECOND} retry a second.
 */
public final class RetryBudget {
    static final double MINIMUM_PER_SECOND = 1;

    /** Lets a single target failure be retried at once; saved tokens beyond this are lost. */
    static final double MAX_TOKENS = 20;

    private static final double INITIAL_TOKENS = 5;
    private static final double PERCENT = 100;
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ReentrantLock lock = new ReentrantLock();
    private double tokens = INITIAL_TOKENS;
    private long refilledAtNanos;

    /**
     * Creates a budget with a few tokens.
     *
     * @param nowNanos current time
     */
    public RetryBudget(long nowNanos) {
        refilledAtNanos = nowNanos;
    }

    /**
     * Counts the first attempt of a request.
     *
     * @param retryPercent retries allowed per 100 requests, from the policy in force
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
     * @return true if the retry is allowed
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
