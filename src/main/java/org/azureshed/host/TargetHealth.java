package org.azureshed.host;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.Condition;

/**
 * Detects from the results of its runs whether the local target is slow or failing. The host side
 * sees all of the target's traffic, so a few results suffice. Not thread-safe.
 */
public final class TargetHealth {
    /** Number of latest results; about two seconds' worth at a few requests a second. */
    private static final int RESULT_WINDOW = 6;

    /** Failures in the window that make a target suspect. */
    private static final int SUSPECT_FAILURES = 2;

    /** A failure older than this is not counted any more. */
    private static final long MAX_RESULT_AGE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Age of a run without an answer, relative to the usual run time, that counts as silence. */
    private static final double SILENCE_FACTOR = 3;

    /** Shortest age that counts as silence; short pauses of a target or its VM are usual. */
    private static final long MIN_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final int MIN_SILENT_RUNS = 2;

    /** Pause between two trials of a suspect target. */
    private static final long TRIAL_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** A suspect target counts as recovered when it has had no failure for this time. */
    private static final long SUSPECT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /**
     * Consecutive successes after which a target is no longer suspect. One is enough if it has
     * failed only once since its last success before it became suspect.
     */
    private static final int RECOVERY_SUCCESSES = 2;

    /** Recent run time, relative to the usual one, above which a target becomes slow. */
    private static final double SLOW_FACTOR = 2.5;

    /** Recent run time, relative to the usual one, at or below which it stops being slow. */
    private static final double SLOW_END_FACTOR = 1.6;

    /** Weight of a new run time in the moving average of recent run times. */
    private static final double RECENT_WEIGHT = 0.2;

    /** Smallest weight of a new run time in the moving average of usual run times. */
    private static final double USUAL_WEIGHT = 0.02;

    /** Successful runs before a target can count as slow. */
    private static final int MIN_RUNS = 10;

    /** Bounds a run time, relative to the usual one, before it enters the usual mean. */
    private static final double MAX_SAMPLE_FACTOR = 2;

    /** A target without a success for this time runs few requests until one succeeds. */
    private static final long SUCCESS_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Deque<Result> results = new ArrayDeque<>();
    private boolean suspect;
    private boolean slow;
    private int consecutiveSuccesses;
    private int failures;
    private long lastTrialNanos;
    private long lastFailureNanos;
    private long lastSuccessNanos;
    private boolean hasSucceeded;
    private int runs;
    private double recentNanos;
    private double usualNanos;

    private record Result(boolean failed, long atNanos) {}

    /**
     * Records the result of a run.
     *
     * @param result the result; a neutral one is ignored
     * @param runNanos time in nanoseconds from sending the request to the end of its answer
     * @param nowNanos current time
     */
    public void recordResult(RunResult result, long runNanos, long nowNanos) {
        if (result == RunResult.NEUTRAL) {
            return;
        }
        boolean failed = result != RunResult.SUCCESS;
        results.addLast(new Result(failed, nowNanos));
        if (results.size() > RESULT_WINDOW) {
            results.removeFirst();
        }
        if (failed) {
            consecutiveSuccesses = 0;
            failures++;
            lastFailureNanos = nowNanos;
        } else {
            consecutiveSuccesses++;
            lastSuccessNanos = nowNanos;
            hasSucceeded = true;
            if (!suspect) {
                failures = 0;
            }
            recordRunTime(runNanos);
        }
        if (suspect && consecutiveSuccesses >= Math.min(failures, RECOVERY_SUCCESSES)) {
            suspect = false;
            failures = 0;
            results.clear();
        } else if (!suspect && failed && indicatesFault(result, nowNanos)) {
            suspect = true;
            lastTrialNanos = nowNanos;
        }
    }

    /**
     * Judges the runs that have no answer yet. A target that answers nothing while several runs are
     * far older than usual is mute: it becomes suspect before they end. One run alone may be an
     * unusually big request and has to be older still.
     *
     * @param startsNanos start times of the runs without any part of an answer
     * @param defaultRunNanos mean run time in nanoseconds to assume before the first success
     * @param nowNanos current time
     * @return true if the target became suspect now
     */
    public boolean checkSilence(List<Long> startsNanos, double defaultRunNanos, long nowNanos) {
        if (suspect) {
            return false;
        }
        double usual = recentNanos(defaultRunNanos);
        double severalNanos = Math.max(MIN_SILENCE_NANOS, SILENCE_FACTOR * usual);
        int silent = 0;
        boolean verySilent = false;
        for (long startNanos : startsNanos) {
            boolean answeredSince = hasSucceeded && lastSuccessNanos - startNanos > 0;
            if (!answeredSince && nowNanos - startNanos > severalNanos) {
                silent++;
                verySilent |= nowNanos - startNanos > 2 * severalNanos;
            }
        }
        if (silent < MIN_SILENT_RUNS && !verySilent) {
            return false;
        }
        suspect = true;
        failures++;
        consecutiveSuccesses = 0;
        lastFailureNanos = nowNanos;
        lastTrialNanos = nowNanos;
        return true;
    }

    /**
     * Starts a trial of a suspect target, which is one request that tests for recovery, unless the
     * pause after the last trial is not over.
     *
     * @param nowNanos current time
     * @return true if the trial may start
     */
    public boolean startTrial(long nowNanos) {
        if (nowNanos - lastTrialNanos < TRIAL_PAUSE_NANOS) {
            return false;
        }
        lastTrialNanos = nowNanos;
        return true;
    }

    /**
     * The target's condition.
     *
     * @param nowNanos current time
     * @return serving, slow or suspect
     */
    public Condition condition(long nowNanos) {
        if (suspect && nowNanos - lastFailureNanos > SUSPECT_TIMEOUT_NANOS) {
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
     * Whether the target ran a request with success recently.
     *
     * @param nowNanos current time
     * @return false if it is not known whether the target works
     */
    public boolean succeededRecently(long nowNanos) {
        return hasSucceeded && nowNanos - lastSuccessNanos < SUCCESS_VALIDITY_NANOS;
    }

    /**
     * Mean run time of recent successes.
     *
     * @param defaultNanos value before the first success
     * @return nanoseconds
     */
    public double recentNanos(double defaultNanos) {
        return runs == 0 ? defaultNanos : recentNanos;
    }

    private void recordRunTime(long runNanos) {
        runs++;
        recentNanos = runs == 1 ? runNanos : weightedMean(recentNanos, runNanos, RECENT_WEIGHT);
        // The usual time adapts quickly at first and then slowly, so that a slow phase stands out.
        double weight = Math.max(USUAL_WEIGHT, 1.0 / runs);
        double bounded = Math.min(runNanos, usualNanos * MAX_SAMPLE_FACTOR);
        usualNanos = runs == 1 ? runNanos : weightedMean(usualNanos, bounded, weight);
        if (runs >= MIN_RUNS) {
            slow = recentNanos > usualNanos * (slow ? SLOW_END_FACTOR : SLOW_FACTOR);
        }
    }

    private static double weightedMean(double old, double sample, double weight) {
        return old + weight * (sample - old);
    }

    /** A healthy target sends an occasional error, but does not break connections. */
    private boolean indicatesFault(RunResult result, long nowNanos) {
        return result == RunResult.BROKEN || recentFailures(nowNanos) >= SUSPECT_FAILURES;
    }

    private int recentFailures(long nowNanos) {
        int count = 0;
        for (Result result : results) {
            if (result.failed() && nowNanos - result.atNanos() < MAX_RESULT_AGE_NANOS) {
                count++;
            }
        }
        return count;
    }
}
