package org.azureshed.ejection;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.azureshed.model.TargetId;

/**
 * What the detector remembers of one service.
 *
 * @param latest newest digest of each target
 * @param scores evidence for each target and class
 */
record DetectorState(Map<TargetId, Received> latest, Map<Subject, Score> scores) {
    /** A digest and the time it arrived. */
    record Received(TargetDigest digest, long atMillis) {}

    /** What is judged. */
    record Subject(TargetId target, String requestClass) {}

    /**
     * Decaying count of windows in which the subject was an outlier.
     *
     * @param value the count at the time
     * @param atMillis time of the last judged window
     * @param countedToMillis end of that window on the host's clock
     * @param outlierAtMillis time of the last window in which it was an outlier
     * @param evidence that window's figures; null before the first such window
     */
    record Score(
            double value,
            long atMillis,
            long countedToMillis,
            long outlierAtMillis,
            Evidence evidence) {}

    static DetectorState empty() {
        return new DetectorState(HashMap.empty(), HashMap.empty());
    }

    DetectorState withLatest(TargetId target, Received received) {
        return new DetectorState(latest.put(target, received), scores);
    }

    DetectorState withScore(Subject subject, Score score) {
        return new DetectorState(latest, scores.put(subject, score));
    }

    /** Forgets a target, for example when it is ejected, so that old evidence is not reused. */
    DetectorState without(TargetId target) {
        return new DetectorState(
                latest.remove(target), scores.reject(entry -> entry._1().target().equals(target)));
    }

    /** Keeps only the given targets. */
    DetectorState retain(java.util.Set<TargetId> targets) {
        return new DetectorState(
                latest.filterKeys(targets::contains),
                scores.filterKeys(subject -> targets.contains(subject.target())));
    }
}
