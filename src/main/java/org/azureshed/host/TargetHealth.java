package org.azureshed.host;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.Condition;

/**
 * Judges the local target by the requests that it runs. The host side sees all of its traffic, so a
 * few results suffice. Not thread-safe.
 */
public final class TargetHealth {
    /** Results that are looked at; at a few requests a second this is about two seconds. */
    private static final int WINDOW = 6;

    /** Failures among them that make a target suspect. */
    private static final int FAILURES = 2;

    /** A result older than this says nothing about now. */
    private static final long RESULT_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Pause between two trials of a suspect target. */
    private static final long TRIAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** A suspect target without trials is taken as recovered after this time. */
    private static final long SUSPECT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Consecutive successes that end the suspicion; one is enough after a single failure. */
    private static final int RECOVERY_SUCCESSES = 2;

    /** Run time, relative to the usual one, above which a target counts as slow. */
    private static final double SLOW_FACTOR = 2.5;

    private static final double SLOW_END_FACTOR = 1.6;
    private static final double FAST_WEIGHT = 0.2;
    private static final double USUAL_WEIGHT = 0.02;
    private static final int MIN_RUNS = 10;

    /** Bounds what one long run adds to the usual time. */
    private static final double MAX_SAMPLE_FACTOR = 2;

    /** A target without a success for this time has to show first that it serves. */
    private static final long PROVEN_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Deque<Result> results = new ArrayDeque<>();
    private boolean suspect;
    private boolean slow;
    private int successes;
    private int failures;
    private long lastTrialNanos;
    private long lastFailureNanos;
    private long lastSuccessNanos;
    private boolean succeeded;
    private int runs;
    private double recentNanos;
    private double usualNanos;

    private record Result(boolean failed, long atNanos) {}

    /**
     * Records the end of a run.
     *
     * @param result how it ended
     * @param runNanos time from sending the request to the end of its answer
     * @param nowNanos current time
     */
    public void ended(RunResult result, long runNanos, long nowNanos) {
        if (result == RunResult.NEUTRAL) {
            return;
        }
        boolean failed = result != RunResult.SUCCESS;
        results.addLast(new Result(failed, nowNanos));
        if (results.size() > WINDOW) {
            results.removeFirst();
        }
        if (failed) {
            successes = 0;
            failures++;
            lastFailureNanos = nowNanos;
        } else {
            successes++;
            lastSuccessNanos = nowNanos;
            succeeded = true;
            if (!suspect) {
                failures = 0;
            }
            timed(runNanos);
        }
        if (suspect && successes >= Math.min(failures, RECOVERY_SUCCESSES)) {
            suspect = false;
            failures = 0;
            results.clear();
        } else if (!suspect && failed && isEvidence(result, nowNanos)) {
            suspect = true;
            lastTrialNanos = nowNanos;
        }
    }

    /**
     * Whether a suspect target may run one request to show that it has recovered.
     *
     * @param nowNanos current time
     * @return true at most once per pause
     */
    public boolean startTrial(long nowNanos) {
        if (nowNanos - lastTrialNanos < TRIAL_PAUSE_NANOS) {
            return false;
        }
        lastTrialNanos = nowNanos;
        return true;
    }

    /**
     * The judgement.
     *
     * @param nowNanos current time
     * @return serving, slow or suspect
     */
    public Condition condition(long nowNanos) {
        if (suspect && nowNanos - lastFailureNanos > SUSPECT_NANOS) {
            suspect = false;
            failures = 0;
            results.clear();
        }
        if (suspect) {
            return Condition.SUSPECT;
        }
        return slow ? Condition.SLOW : Condition.SERVING;
    }

    /**
     * Whether the target answered a request lately.
     *
     * @param nowNanos current time
     * @return false if it may fail whatever it is sent
     */
    public boolean proven(long nowNanos) {
        return succeeded && nowNanos - lastSuccessNanos < PROVEN_NANOS;
    }

    /**
     * Mean time of recent runs.
     *
     * @param defaultNanos value before the first run
     * @return nanoseconds
     */
    public double recentNanos(double defaultNanos) {
        return runs == 0 ? defaultNanos : recentNanos;
    }

    private void timed(long runNanos) {
        runs++;
        recentNanos = runs == 1 ? runNanos : mix(recentNanos, runNanos, FAST_WEIGHT);
        // The usual time learns quickly at first and then barely, so that a slow phase stands out.
        double weight = Math.max(USUAL_WEIGHT, 1.0 / runs);
        double bounded = Math.min(runNanos, usualNanos * MAX_SAMPLE_FACTOR);
        usualNanos = runs == 1 ? runNanos : mix(usualNanos, bounded, weight);
        if (runs >= MIN_RUNS) {
            slow = recentNanos > usualNanos * (slow ? SLOW_END_FACTOR : SLOW_FACTOR);
        }
    }

    private static double mix(double old, double sample, double weight) {
        return old + weight * (sample - old);
    }

    /** A sound target answers now and then with an error, but does not break connections. */
    private boolean isEvidence(RunResult result, long nowNanos) {
        return result == RunResult.BROKEN || recentFailures(nowNanos) >= FAILURES;
    }

    private int recentFailures(long nowNanos) {
        int count = 0;
        for (Result result : results) {
            if (result.failed() && nowNanos - result.atNanos() < RESULT_AGE_NANOS) {
                count++;
            }
        }
        return count;
    }
}
