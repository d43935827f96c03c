package org.azureshed.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.RequestClass;
import org.azureshed.model.ServicePolicy;

/**
 * Fleet and demand of one simulated service.
 *
 * @param name name in printed lines
 * @param seed seed of arrivals, service times and choices
 * @param targets number of targets, one on each node
 * @param warmTargets number of targets that are ready from the start
 * @param slots slots of each target
 * @param entries number of entry nodes
 * @param grayTarget index of the slow target, or -1 for none
 * @param grayFactor how many times slower it is
 * @param otherZoneNanos one way between zones
 * @param policy the service's policy
 * @param streams requests of each kind
 * @param demand demand at the peaks, as a multiple of the capacity of the healthy targets
 * @param measuredFromSeconds when measuring begins, to leave out a peak in which classes are
 *     learned
 */
record Scenario(
        String name,
        long seed,
        int targets,
        int warmTargets,
        int slots,
        int entries,
        int grayTarget,
        double grayFactor,
        long otherZoneNanos,
        ServicePolicy policy,
        List<Stream> streams,
        double demand,
        double measuredFromSeconds) {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
    private static final double QUIET_DEMAND = 0.5;

    /** Two peaks; demand rises and falls within half a second. */
    private static final double[] PEAK_STARTS = {3, 10};

    private static final double PEAK_SECONDS = 5;
    private static final double RAMP_SECONDS = 0.5;
    private static final double END_SECONDS = 17;
    private static final double FIRST_READY_SECONDS = 3.5;
    private static final double BETWEEN_READY_SECONDS = 0.5;

    /** Skew of service times; the 99th percentile is about 4.9 times the mean. */
    private static final double SIGMA = 0.8;

    private static final int ORGANISATIONS = 40;

    /**
     * Requests of one kind.
     *
     * @param requestClass their class
     * @param share share of the capacity in use that they need
     * @param meanMillis mean service time on a healthy warm target
     * @param constant whether their rate stays the same through the peaks
     */
    record Stream(RequestClass requestClass, double share, double meanMillis, boolean constant) {}

    Scenario withDemand(double newDemand) {
        return new Scenario(
                name,
                seed,
                targets,
                warmTargets,
                slots,
                entries,
                grayTarget,
                grayFactor,
                otherZoneNanos,
                policy,
                streams,
                newDemand,
                measuredFromSeconds);
    }

    /** Slots of the healthy targets. */
    int healthySlots() {
        return (targets - (grayTarget >= 0 ? 1 : 0)) * slots;
    }

    /** When a target that is cold at the start becomes ready. */
    long readyAtNanos(int target) {
        double seconds = FIRST_READY_SECONDS + BETWEEN_READY_SECONDS * (target - warmTargets);
        return (long) (seconds * SECOND);
    }

    /** Whether requests arriving at a time are measured: those at the peaks. */
    boolean measured(long nanos) {
        double seconds = (double) nanos / SECOND;
        return seconds >= measuredFromSeconds && peakShare(seconds) >= 1;
    }

    /** Length of the measured time. */
    double measuredSeconds() {
        double seconds = 0;
        for (double start : PEAK_STARTS) {
            seconds += start >= measuredFromSeconds ? PEAK_SECONDS - 2 * RAMP_SECONDS : 0;
        }
        return seconds;
    }

    /** All requests, in order of arrival within each stream. */
    List<SimulatedRequest> requests() {
        List<SimulatedRequest> requests = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        java.util.Random gaussian = new java.util.Random(seed);
        for (Stream stream : streams) {
            double perSecond = healthySlots() * stream.share() * 1000 / stream.meanMillis();
            double mu = Math.log(stream.meanMillis() * 1e6) - SIGMA * SIGMA / 2;
            double due = -Math.log(1 - random.nextDouble());
            for (long t = 0; t < END_SECONDS * SECOND; t += STEP_NANOS) {
                double rate = perSecond * demandAt((double) t / SECOND, stream);
                due -= rate * STEP_NANOS / SECOND;
                while (due <= 0) {
                    requests.add(
                            new SimulatedRequest(
                                    t + random.nextLong(STEP_NANOS),
                                    random.nextInt(entries),
                                    stream.requestClass(),
                                    "o" + random.nextInt(ORGANISATIONS),
                                    (long) Math.exp(mu + SIGMA * gaussian.nextGaussian())));
                    due -= Math.log(1 - random.nextDouble());
                }
            }
        }
        return requests;
    }

    private double demandAt(double seconds, Stream stream) {
        double quiet = Math.min(demand, QUIET_DEMAND);
        return stream.constant() ? 1 : quiet + (demand - quiet) * peakShare(seconds);
    }

    /** 0 between peaks, 1 in them, and in between while demand rises or falls. */
    private static double peakShare(double seconds) {
        double share = 0;
        for (double start : PEAK_STARTS) {
            double into = seconds - start;
            double left = start + PEAK_SECONDS - seconds;
            share = Math.max(share, Math.min(1, Math.min(into, left) / RAMP_SECONDS));
        }
        return Math.max(0, share);
    }
}
