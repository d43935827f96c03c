package org.azureshed.ejection;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.azureshed.model.TargetId;

/**
 * State of the outlier detector for one service.
 *
 * @param latest newest digest of each target
 * @param scores outlier score of each target and class
 * @param baselines totals of each target and class up to which requests were evaluated
 */
record DetectorState(
        Map<TargetId, Received> latest,
        Map<Subject, Score> scores,
        Map<Subject, Baseline> baselines) {
    /** A digest and the time at which it was received. */
    record Received(TargetDigest digest, long atMillis) {}

    /** A target and class, which are scored together. */
    record Subject(TargetId target, String requestClass) {}

    /**
     * Decaying score of a subject, to which each window in which it is an outlier adds its weight.
     *
     * @param value the score at {@code atMillis}
     * @param atMillis when the last window was evaluated
     * @param windowEndMillis end of that window on the host's clock
     * @param outlierAtMillis when a window was last found to be an outlier
     * @param evidence measurements of that outlier window; null if there was none yet
     */
    record Score(
            double value,
            long atMillis,
            long windowEndMillis,
            long outlierAtMillis,
            Evidence evidence) {}

    /**
     * Totals of the last digest whose requests were evaluated. The next evaluation counts from
     * here.
     *
     * @param samples total requests in the digest
     * @param errors total failed requests in the digest
     * @param atMillis when the digest was received
     */
    record Baseline(long samples, long errors, long atMillis) {
        /**
         * Whether the requests of a digest can be counted from this baseline: the host did not
         * restart in between, and the baseline is not too old.
         */
        boolean continuedBy(ClassDigest digest, long nowMillis) {
            return digest.totalSamples() >= samples
                    && digest.totalErrors() >= errors
                    && nowMillis - atMillis <= SparseErrors.MAX_WINDOW_MILLIS;
        }
    }

    static DetectorState empty() {
        return new DetectorState(HashMap.empty(), HashMap.empty(), HashMap.empty());
    }

    DetectorState withLatest(TargetId target, Received received) {
        return new DetectorState(latest.put(target, received), scores, baselines);
    }

    DetectorState withScore(Subject subject, Score score) {
        return new DetectorState(latest, scores.put(subject, score), baselines);
    }

    /** Sets the baseline of a subject to the totals of a digest. */
    DetectorState withBaseline(Subject subject, ClassDigest digest, long atMillis) {
        Baseline next = new Baseline(digest.totalSamples(), digest.totalErrors(), atMillis);
        return new DetectorState(latest, scores, baselines.put(subject, next));
    }

    /** Removes all data of a target, for example on its ejection, so that it is not reused. */
    DetectorState without(TargetId target) {
        return new DetectorState(
                latest.remove(target),
                scores.reject(entry -> entry._1().target().equals(target)),
                baselines.reject(entry -> entry._1().target().equals(target)));
    }

    /** Removes the data of all other targets. */
    DetectorState retain(java.util.Set<TargetId> targets) {
        return new DetectorState(
                latest.filterKeys(targets::contains),
                scores.filterKeys(subject -> targets.contains(subject.target())),
                baselines.filterKeys(subject -> targets.contains(subject.target())));
    }
}
