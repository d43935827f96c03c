package org.azureshed.sidecar;

import java.util.SplittableRandom;

/** Pauses between failed calls: doubling, with jitter, so that nodes do not call together. */
final class Backoff {
    private static final long FIRST_MILLIS = 100;
    private static final long LAST_MILLIS = 1_600;

    private final SplittableRandom random;
    private long nextMillis = FIRST_MILLIS;

    Backoff(SplittableRandom random) {
        this.random = random;
    }

    /** Returns the pause before the next call, in milliseconds. */
    long next() {
        long pause = nextMillis;
        nextMillis = Math.min(LAST_MILLIS, nextMillis * 2);
        return pause / 2 + random.nextLong(pause);
    }

    void reset() {
        nextMillis = FIRST_MILLIS;
    }
}
