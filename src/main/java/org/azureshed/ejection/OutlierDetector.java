package org.azureshed.ejection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.azureshed.ejection.DetectorState.Received;
import org.azureshed.ejection.DetectorState.Score;
import org.azureshed.ejection.DetectorState.Subject;
import org.azureshed.model.TargetId;

/**
 * Finds the targets of one service that are slower or fail more often than their peers.
 *
 * <p>Targets are compared per class, each against all others, so neither a different mix of classes
 * nor a service that is slow as a whole makes an outlier. Each window in which a target is an
 * outlier adds to a score that decays with time; a flapping target therefore keeps part of its
 * score through its good phases.
 */
final class OutlierDetector {
    /** Fewer peers give no usable spread. */
    static final int MIN_PEERS = 5;

    /** Fewer samples give no usable median or error share. */
    static final int MIN_SAMPLES = 20;

    /** A slow target is at least this many times slower than the median of its peers. */
    static final double MIN_RATIO = 1.5;

    /** An outlier's error share is at least this much above the median of its peers. */
    static final double MIN_ERROR_MARGIN = 0.05;

    /** Usual bound of the modified z-score for outliers. */
    private static final double MIN_Z_SCORE = 3.5;

    /** Digests older than this say nothing about the present. */
    private static final long MAX_AGE_MILLIS = 15_000;

    /** An outlier must have been one in a window not older than this to be reported. */
    private static final long MAX_OUTLIER_AGE_MILLIS = 10_000;

    /** 90th percentile of the standard normal distribution. */
    private static final double NORMAL_P90 = 1.2816;

    /** Standard error of a median relative to that of a mean of normal values. */
    private static final double MEDIAN_ERROR = 1.2533;

    private final Tuning tuning;

    /**
     * Values found by measurement.
     *
     * @param threshold score from which a target is reported
     * @param halfLifeMillis time in which a score halves
     * @param medianErrors standard errors by which a median is lowered before it is compared with
     *     {@link #MIN_RATIO}
     */
    record Tuning(double threshold, long halfLifeMillis, double medianErrors) {
        static final Tuning DEFAULT = new Tuning(2.5, 30_000, 0);
    }

    OutlierDetector(Tuning tuning) {
        this.tuning = tuning;
    }

    /** Takes in a digest. Repeated digests of the same window have no effect. */
    DetectorState observe(
            DetectorState state, TargetId target, TargetDigest digest, long nowMillis) {
        boolean known =
                state.latest()
                        .get(target)
                        .exists(old -> old.digest().windowEndMillis() == digest.windowEndMillis());
        return known ? state : state.withLatest(target, new Received(digest, nowMillis));
    }

    /** Judges the windows that were not judged yet against the given peers. */
    DetectorState evaluate(DetectorState state, Set<TargetId> peers, long nowMillis) {
        Map<String, Map<TargetId, ClassDigest>> byClass = fresh(state, nowMillis);
        DetectorState next = state;
        for (var entry : byClass.entrySet()) {
            for (var candidate : entry.getValue().entrySet()) {
                next =
                        judge(
                                next,
                                candidate.getKey(),
                                candidate.getValue(),
                                others(entry.getValue(), candidate.getKey(), peers),
                                nowMillis);
            }
        }
        return next;
    }

    /** The evidence against a target, if it is an outlier at present. */
    Optional<Evidence> finding(DetectorState state, TargetId target, long nowMillis) {
        return state.latest().get(target).toJavaOptional().stream()
                .flatMap(received -> received.digest().classes().stream())
                .map(digest -> new Subject(target, digest.requestClass()))
                .flatMap(subject -> state.scores().get(subject).toJavaStream())
                .filter(score -> score.evidence() != null)
                .filter(score -> decayed(score, nowMillis) >= tuning.threshold())
                .filter(score -> nowMillis - score.outlierAtMillis() <= MAX_OUTLIER_AGE_MILLIS)
                .map(Score::evidence)
                .max(java.util.Comparator.comparingDouble(Evidence::severity));
    }

    /** Judges one window of one target on its own, or nothing if the peers are too few. */
    Optional<Boolean> outlierNow(
            DetectorState state, TargetId target, Set<TargetId> peers, long nowMillis) {
        boolean judged = false;
        for (var entry : fresh(state, nowMillis).entrySet()) {
            ClassDigest own = entry.getValue().get(target);
            List<ClassDigest> others = others(entry.getValue(), target, peers);
            if (own != null && own.samples() >= MIN_SAMPLES && others.size() >= MIN_PEERS) {
                judged = true;
                if (compare(own, others).isPresent()) {
                    return Optional.of(true);
                }
            }
        }
        return judged ? Optional.of(false) : Optional.empty();
    }

    private DetectorState judge(
            DetectorState state,
            TargetId target,
            ClassDigest own,
            List<ClassDigest> others,
            long nowMillis) {
        Subject subject = new Subject(target, own.requestClass());
        long windowEnd = state.latest().get(target).get().digest().windowEndMillis();
        Score old =
                state.scores().getOrElse(subject, new Score(0, nowMillis, Long.MIN_VALUE, 0, null));
        // A host that restarted has a smaller clock; its windows count from there.
        boolean restarted = windowEnd < old.countedToMillis();
        boolean overlaps = !restarted && windowEnd - own.spanMillis() < old.countedToMillis();
        if (overlaps || own.samples() < MIN_SAMPLES || others.size() < MIN_PEERS) {
            return state;
        }
        Optional<Evidence> evidence = compare(own, others);
        double value = decayed(old, nowMillis) + (evidence.isPresent() ? 1 : 0);
        return state.withScore(
                subject,
                new Score(
                        value,
                        nowMillis,
                        windowEnd,
                        evidence.isPresent() ? nowMillis : old.outlierAtMillis(),
                        evidence.orElse(old.evidence())));
    }

    private Optional<Evidence> compare(ClassDigest own, List<ClassDigest> others) {
        return compareTimes(own, others).or(() -> compareErrors(own, others));
    }

    private Optional<Evidence> compareTimes(ClassDigest own, List<ClassDigest> others) {
        double[] medians =
                others.stream()
                        .filter(other -> other.timed() >= MIN_SAMPLES)
                        .mapToDouble(ClassDigest::medianMicros)
                        .toArray();
        if (own.timed() < MIN_SAMPLES || medians.length < MIN_PEERS || own.medianMicros() == 0) {
            return Optional.empty();
        }
        RobustStatistics peers = RobustStatistics.of(medians);
        double spread = Math.log((double) own.p90Micros() / own.medianMicros()) / NORMAL_P90;
        double error = MEDIAN_ERROR * spread / Math.sqrt(own.timed());
        double lowered = own.medianMicros() * Math.exp(-tuning.medianErrors() * error);
        boolean outlier =
                lowered >= MIN_RATIO * peers.median()
                        && peers.zScore(own.medianMicros(), error * peers.median()) > MIN_Z_SCORE;
        return outlier
                ? Optional.of(
                        Evidence.slow(
                                own.requestClass(),
                                own.medianMicros(),
                                peers.median(),
                                own.timed()))
                : Optional.empty();
    }

    private static Optional<Evidence> compareErrors(ClassDigest own, List<ClassDigest> others) {
        RobustStatistics peers =
                RobustStatistics.of(others.stream().mapToDouble(ClassDigest::errorShare).toArray());
        // The spread of a share cannot be below that of counting, even if all peers have none.
        double share = Math.max(peers.median(), 1.0 / own.samples());
        double countingError = Math.sqrt(share * (1 - share) / own.samples());
        boolean outlier =
                own.errorShare() >= peers.median() + MIN_ERROR_MARGIN
                        && peers.zScore(own.errorShare(), countingError) > MIN_Z_SCORE;
        return outlier
                ? Optional.of(
                        Evidence.errors(
                                own.requestClass(),
                                own.errorShare(),
                                peers.median(),
                                own.samples()))
                : Optional.empty();
    }

    private double decayed(Score score, long nowMillis) {
        double halves = (double) (nowMillis - score.atMillis()) / tuning.halfLifeMillis();
        return score.value() * Math.pow(0.5, Math.max(0, halves));
    }

    private static Map<String, Map<TargetId, ClassDigest>> fresh(
            DetectorState state, long nowMillis) {
        Map<String, Map<TargetId, ClassDigest>> byClass = new HashMap<>();
        state.latest()
                .forEach(
                        (target, received) -> {
                            if (nowMillis - received.atMillis() <= MAX_AGE_MILLIS) {
                                for (ClassDigest digest : received.digest().classes()) {
                                    byClass.computeIfAbsent(
                                                    digest.requestClass(), name -> new HashMap<>())
                                            .put(target, digest);
                                }
                            }
                        });
        return byClass;
    }

    private static List<ClassDigest> others(
            Map<TargetId, ClassDigest> digests, TargetId target, Set<TargetId> peers) {
        return digests.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(target))
                .filter(entry -> peers.contains(entry.getKey()))
                .map(Map.Entry::getValue)
                .filter(digest -> digest.samples() >= MIN_SAMPLES)
                .toList();
    }
}
