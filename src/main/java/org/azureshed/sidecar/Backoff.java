package org.azureshed.sidecar;

import java.util.SplittableRandom;

/** Exponential backoff; jitter keeps the nodes from retrying at the same time. */
final class Backoff {
    private static final long INITIAL_MILLIS = 100;
    private static final long MAX_MILLIS = 1_600;

    private final SplittableRandom random;
    private long nextMillis = INITIAL_MILLIS;

    Backoff(SplittableRandom random) {
        this.random = random;
    }

    /** Returns the delay before the next call in milliseconds, and doubles the base delay. */
    long next() {
        long base = nextMillis;
        nextMillis = Math.min(MAX_MILLIS, nextMillis * 2);
        return base / 2 + random.nextLong(base);
    }

    void reset() {
        nextMillis = INITIAL_MILLIS;
    }
}
