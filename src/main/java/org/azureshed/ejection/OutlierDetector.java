package org.azureshed.ejection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.azureshed.ejection.DetectorState.Baseline;
import org.azureshed.ejection.DetectorState.Received;
import org.azureshed.ejection.DetectorState.Score;
import org.azureshed.ejection.DetectorState.Subject;
import org.azureshed.model.TargetId;

/**
 * Finds the targets of one service that are slower or fail more often than their peers.
 *
 * <p>Each target is compared with all others, per class, so neither a different mix of classes nor
 * a service that is slow as a whole makes an outlier. Each window in which a target is an outlier
 * adds to a score that decays with time. A flapping target therefore keeps part of its score while
 * it is healthy.
 */
final class OutlierDetector {
    /** With fewer peers the spread of their values cannot be estimated. */
    static final int MIN_PEERS = 5;

    /** With fewer samples the median and the error share are too uncertain. */
    static final int MIN_SAMPLES = 20;

    /** A slow target is at least this many times slower than the median of its peers. */
    static final double MIN_RATIO = 1.5;

    /** A failing target's error share is at least this much above the median of its peers. */
    static final double MIN_ERROR_MARGIN = 0.05;

    /** Usual threshold of the modified z-score for outliers. */
    private static final double MIN_Z_SCORE = 3.5;

    /** Older digests are ignored as out of date. */
    private static final long MAX_DIGEST_AGE_MILLIS = 15_000;

    /** A target is reported only if it was an outlier in a window not older than this. */
    private static final long MAX_OUTLIER_AGE_MILLIS = 20_000;

    /** Keeps the standard error above zero if all service times are the same. */
    private static final double MIN_LOG_DEVIATION = 0.05;

    /** Limits what significance adds to a window's weight, so that one window is never enough. */
    private static final double MAX_STRENGTH = 1;

    /** 90th percentile of the standard normal distribution. */
    private static final double NORMAL_P90 = 1.2816;

    /** Standard error of a median relative to that of a mean, for normally distributed values. */
    private static final double MEDIAN_ERROR_FACTOR = 1.2533;

    /** The same for a 75th percentile. */
    private static final double P75_ERROR_FACTOR = 1.3626;

    private final DetectorTuning tuning;

    OutlierDetector(DetectorTuning tuning) {
        this.tuning = tuning;
    }

    /** Stores a digest. Repeated digests of the same window have no effect. */
    DetectorState observe(
            DetectorState state, TargetId target, TargetDigest digest, long nowMillis) {
        boolean repeated =
                state.latest()
                        .get(target)
                        .exists(old -> old.digest().windowEndMillis() == digest.windowEndMillis());
        return repeated ? state : state.withLatest(target, new Received(digest, nowMillis));
    }

    /**
     * Evaluates the windows that were not evaluated yet.
     *
     * @param comparableSince targets to compare, each with the time from which its windows count
     */
    DetectorState evaluate(
            DetectorState state, Map<TargetId, Long> comparableSince, long nowMillis) {
        if (comparableSince.size() <= MIN_PEERS) {
            return state;
        }
        DetectorState next = state;
        Map<String, Map<TargetId, ClassDigest>> byClass =
                recentDigests(state, comparableSince, nowMillis);
        for (var digests : byClass.values()) {
            if (digests.size() > MIN_PEERS) {
                for (var candidate : digests.entrySet()) {
                    next =
                            scoreWindow(
                                    next,
                                    candidate.getKey(),
                                    candidate.getValue(),
                                    digests,
                                    nowMillis);
                }
            }
        }
        for (var target : comparableSince.entrySet()) {
            Received received = state.latest().getOrElse(target.getKey(), null);
            if (received != null && nowMillis - received.atMillis() <= MAX_DIGEST_AGE_MILLIS) {
                boolean coldStart = received.atMillis() < target.getValue();
                next = scoreSparse(next, target.getKey(), received, coldStart, byClass, nowMillis);
            }
        }
        return next;
    }

    /**
     * Returns the most severe evidence against a target, from the classes whose score reaches the
     * threshold and whose last outlier window is recent enough; empty if there is no such class.
     */
    Optional<Evidence> finding(DetectorState state, TargetId target, long nowMillis) {
        Received received = state.latest().getOrElse(target, null);
        Evidence worst = null;
        if (received != null) {
            for (ClassDigest digest : received.digest().classes()) {
                Subject subject = new Subject(target, digest.requestClass());
                Score score = state.scores().getOrElse(subject, null);
                boolean found = score != null && isOutlier(score, nowMillis);
                if (found && (worst == null || score.evidence().severity() >= worst.severity())) {
                    worst = score.evidence();
                }
            }
        }
        return Optional.ofNullable(worst);
    }

    private boolean isOutlier(Score score, long nowMillis) {
        return score.evidence() != null
                && nowMillis - score.outlierAtMillis() <= MAX_OUTLIER_AGE_MILLIS
                && decayed(score, nowMillis) >= tuning.threshold();
    }

    /**
     * Whether the latest window of a target is an outlier, without regard to its score; empty if
     * there are too few samples or peers.
     */
    Optional<Boolean> outlierNow(
            DetectorState state,
            TargetId target,
            Map<TargetId, Long> comparableSince,
            long nowMillis) {
        boolean compared = false;
        for (var entry : recentDigests(state, comparableSince, nowMillis).entrySet()) {
            ClassDigest own = entry.getValue().get(target);
            List<ClassDigest> others = others(entry.getValue(), target);
            if (own != null && own.samples() >= MIN_SAMPLES && others.size() >= MIN_PEERS) {
                compared = true;
                if (compare(own, others).isPresent()) {
                    return Optional.of(true);
                }
            }
        }
        return compared ? Optional.of(false) : Optional.empty();
    }

    private DetectorState scoreWindow(
            DetectorState state,
            TargetId target,
            ClassDigest own,
            Map<TargetId, ClassDigest> digests,
            long nowMillis) {
        Subject subject = new Subject(target, own.requestClass());
        long windowEnd = state.latest().get(target).get().digest().windowEndMillis();
        Score old =
                state.scores().getOrElse(subject, new Score(0, nowMillis, Long.MIN_VALUE, 0, null));
        // The monotonic clock of a restarted host starts again, possibly below the last window.
        boolean restarted = windowEnd < old.windowEndMillis();
        boolean overlaps = !restarted && windowEnd - own.spanMillis() < old.windowEndMillis();
        if (overlaps || own.samples() < MIN_SAMPLES) {
            return state;
        }
        List<ClassDigest> others = others(digests, target);
        if (others.size() < MIN_PEERS) {
            return state;
        }
        Optional<Evidence> evidence = compare(own, others);
        return addScore(state, subject, evidence, windowEnd, nowMillis)
                .withBaseline(subject, own, nowMillis);
    }

    /**
     * Evaluates the errors since the last evaluated window. This finds failing targets that have
     * too few requests for {@link #scoreWindow}; for others that method evaluates most windows
     * first. The host's window is at most 30 s long (see {@link SampleRing}), and successive
     * windows overlap if requests are rare, so the errors are counted by the difference of the
     * totals.
     */
    private DetectorState scoreSparse(
            DetectorState state,
            TargetId target,
            Received received,
            boolean coldStart,
            Map<String, Map<TargetId, ClassDigest>> byClass,
            long nowMillis) {
        DetectorState next = state;
        for (ClassDigest own : received.digest().classes()) {
            Subject subject = new Subject(target, own.requestClass());
            Baseline baseline = state.baselines().getOrElse(subject, null);
            if (coldStart || baseline == null || !baseline.continuedBy(own, nowMillis)) {
                next = next.withBaseline(subject, own, received.atMillis());
                continue;
            }
            long samples = own.totalSamples() - baseline.samples();
            List<ClassDigest> others =
                    others(byClass.getOrDefault(own.requestClass(), Map.of()), target);
            if (samples < SparseErrors.MIN_SAMPLES
                    || received.atMillis() - baseline.atMillis() < SparseErrors.MIN_WINDOW_MILLIS
                    || others.size() < MIN_PEERS) {
                continue;
            }
            Optional<Evidence> evidence =
                    SparseErrors.compare(
                            own.requestClass(),
                            (int) samples,
                            (int) (own.totalErrors() - baseline.errors()),
                            others);
            if (evidence.isPresent()) {
                long windowEnd = received.digest().windowEndMillis();
                next = addScore(next, subject, evidence, windowEnd, nowMillis);
            }
            if (evidence.isPresent() || samples >= MIN_SAMPLES) {
                next = next.withBaseline(subject, own, received.atMillis());
            }
        }
        return next;
    }

    private DetectorState addScore(
            DetectorState state,
            Subject subject,
            Optional<Evidence> evidence,
            long windowEnd,
            long nowMillis) {
        Score old =
                state.scores().getOrElse(subject, new Score(0, nowMillis, Long.MIN_VALUE, 0, null));
        double value = decayed(old, nowMillis) + evidence.map(this::weight).orElse(0.0);
        return state.withScore(
                subject,
                new Score(
                        value,
                        nowMillis,
                        windowEnd,
                        evidence.isPresent() ? nowMillis : old.outlierAtMillis(),
                        evidence.orElse(old.evidence())));
    }

    /** Weight of an outlier window; more significant outliers are reported after fewer windows. */
    private double weight(Evidence evidence) {
        return 1 + Math.clamp(evidence.significance() * tuning.strengthWeight(), 0, MAX_STRENGTH);
    }

    private Optional<Evidence> compare(ClassDigest own, List<ClassDigest> others) {
        return compareTimes(own, others).or(() -> compareErrors(own, others));
    }

    private Optional<Evidence> compareTimes(ClassDigest own, List<ClassDigest> others) {
        List<ClassDigest> timed =
                others.stream().filter(other -> other.timed() >= MIN_SAMPLES).toList();
        if (own.timed() < MIN_SAMPLES || timed.size() < MIN_PEERS) {
            return Optional.empty();
        }
        double logDeviation =
                RobustStatistics.of(
                                timed.stream().mapToDouble(OutlierDetector::logDeviation).toArray())
                        .median();
        double standardError = logDeviation / Math.sqrt(own.timed());
        return compareQuantile(
                        own,
                        timed,
                        ClassDigest::medianMicros,
                        MEDIAN_ERROR_FACTOR * standardError,
                        tuning.medianStandardErrors())
                .or(
                        () ->
                                compareQuantile(
                                        own,
                                        timed,
                                        ClassDigest::p75Micros,
                                        P75_ERROR_FACTOR * standardError,
                                        tuning.p75StandardErrors()));
    }

    /**
     * Compares one quantile of the service time with the peers.
     *
     * @param standardError standard error of the logarithm of the quantile
     * @param neededStandardErrors number of standard errors by which the quantile has to exceed 1.5
     *     times that of the peers
     */
    private static Optional<Evidence> compareQuantile(
            ClassDigest own,
            List<ClassDigest> others,
            ToLongFunction<ClassDigest> quantile,
            double standardError,
            double neededStandardErrors) {
        RobustStatistics peers =
                RobustStatistics.of(
                        others.stream()
                                .mapToDouble(other -> Math.max(1, quantile.applyAsLong(other)))
                                .toArray());
        double value = Math.max(1, quantile.applyAsLong(own));
        double significance = Math.log(value / (MIN_RATIO * peers.median())) / standardError;
        boolean outlier =
                significance >= neededStandardErrors
                        && peers.zScore(value, standardError * peers.median()) > MIN_Z_SCORE;
        return outlier
                ? Optional.of(
                        Evidence.slow(
                                own.requestClass(),
                                value,
                                peers.median(),
                                own.timed(),
                                significance - neededStandardErrors))
                : Optional.empty();
    }

    /** Standard deviation of the logarithm of the service time. */
    private static double logDeviation(ClassDigest digest) {
        double ratio = (double) digest.p90Micros() / Math.max(1, digest.medianMicros());
        return Math.max(MIN_LOG_DEVIATION, Math.log(ratio) / NORMAL_P90);
    }

    private static Optional<Evidence> compareErrors(ClassDigest own, List<ClassDigest> others) {
        RobustStatistics peers =
                RobustStatistics.of(others.stream().mapToDouble(ClassDigest::errorShare).toArray());
        // The standard error of a binomial count is the lower bound of the standard deviation. At
        // least one error is assumed, so that the bound is above zero if most peers have none.
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
                                own.samples(),
                                (own.errorShare() - peers.median()) / countingError - MIN_Z_SCORE))
                : Optional.empty();
    }

    private double decayed(Score score, long nowMillis) {
        double halves = (double) (nowMillis - score.atMillis()) / tuning.halfLifeMillis();
        return score.value() * Math.pow(0.5, Math.max(0, halves));
    }

    private static Map<String, Map<TargetId, ClassDigest>> recentDigests(
            DetectorState state, Map<TargetId, Long> comparableSince, long nowMillis) {
        Map<String, Map<TargetId, ClassDigest>> byClass = new HashMap<>();
        comparableSince.forEach(
                (target, since) ->
                        state.latest()
                                .get(target)
                                .filter(
                                        received ->
                                                nowMillis - received.atMillis()
                                                        <= MAX_DIGEST_AGE_MILLIS)
                                .forEach(received -> addRecent(byClass, target, received, since)));
        return byClass;
    }

    private static void addRecent(
            Map<String, Map<TargetId, ClassDigest>> byClass,
            TargetId target,
            Received received,
            long sinceMillis) {
        for (ClassDigest digest : received.digest().classes()) {
            if (received.atMillis() - digest.spanMillis() >= sinceMillis) {
                byClass.computeIfAbsent(digest.requestClass(), name -> new HashMap<>())
                        .put(target, digest);
            }
        }
    }

    private static List<ClassDigest> others(Map<TargetId, ClassDigest> digests, TargetId target) {
        return digests.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(target))
                .map(Map.Entry::getValue)
                .filter(digest -> digest.samples() >= MIN_SAMPLES)
                .toList();
    }
}
