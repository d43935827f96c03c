package org.azureshed.ejection;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.azureshed.model.TargetId;

/**
 * What the detector remembers of one service.
 *
 * @param latest newest digest of each target
 * @param scores evidence for each target and class
 * @param baselines up to where the requests of each target and class were judged
 */
record DetectorState(
        Map<TargetId, Received> latest,
        Map<Subject, Score> scores,
        Map<Subject, Baseline> baselines) {
    /** A digest and the time it arrived. */
    record Received(TargetDigest digest, long atMillis) {}

    /** What is judged. */
    record Subject(TargetId target, String requestClass) {}

    /**
     * Decaying count of windows in which the subject was an outlier.
     *
     * @param value the count at the time
     * @param atMillis time of the last judged window
     * @param windowEndMillis end of that window on the host's clock
     * @param outlierAtMillis time of the last window in which it was an outlier
     * @param evidence that window's figures; null before the first such window
     */
    record Score(
            double value,
            long atMillis,
            long windowEndMillis,
            long outlierAtMillis,
            Evidence evidence) {}

    /**
     * Totals of the last digest whose requests were judged.
     *
     * @param samples requests that had ended by then
     * @param errors how many of them had failed
     * @param atMillis when the digest arrived
     */
    record Baseline(long samples, long errors, long atMillis) {
        /** Whether a digest counts on from here: its host did not restart, and not too long ago. */
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

    /** Starts the next count of a subject at a digest. */
    DetectorState withBaseline(Subject subject, ClassDigest digest, long atMillis) {
        Baseline next = new Baseline(digest.totalSamples(), digest.totalErrors(), atMillis);
        return new DetectorState(latest, scores, baselines.put(subject, next));
    }

    /** Forgets a target, for example when it is ejected, so that old evidence is not reused. */
    DetectorState without(TargetId target) {
        return new DetectorState(
                latest.remove(target),
                scores.reject(entry -> entry._1().target().equals(target)),
                baselines.reject(entry -> entry._1().target().equals(target)));
    }

    /** Keeps only the given targets. */
    DetectorState retain(java.util.Set<TargetId> targets) {
        return new DetectorState(
                latest.filterKeys(targets::contains),
                scores.filterKeys(subject -> targets.contains(subject.target())),
                baselines.filterKeys(subject -> targets.contains(subject.target())));
    }
}
