package org.azureshed.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.RequestClass;
import org.azureshed.model.ServicePolicy;

/**
 * Fleet and load of one simulated service. Demand has two peaks of 5 s, from 3 s and 10 s on.
 *
 * @param name name in printed lines
 * @param seed seed of arrivals, service times and random choices
 * @param targetCount number of targets, one on each node
 * @param warmTargetCount number of targets that are ready and warm from the start; the others start
 *     cold in the first peak
 * @param slotsPerTarget number of requests that each target runs at the same time
 * @param entryNodeCount number of entry nodes
 * @param grayTargetIndex index of the target with a gray failure, which is slow, or -1 for none
 * @param graySlowdown factor on the service times of that target
 * @param crossZoneNanos one-way network time between availability zones
 * @param policy limits of the service
 * @param streams load of each request class
 * @param peakDemand demand at the peaks, as a multiple of the capacity of the healthy targets
 * @param measuredFromSeconds virtual time from which peaks are measured; excludes a peak in which
 *     admission learns which routes are long-running
 */
record LoadScenario(
        String name,
        long seed,
        int targetCount,
        int warmTargetCount,
        int slotsPerTarget,
        int entryNodeCount,
        int grayTargetIndex,
        double graySlowdown,
        long crossZoneNanos,
        ServicePolicy policy,
        List<RequestStream> streams,
        double peakDemand,
        double measuredFromSeconds) {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** The arrival rate is constant within a step. */
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /** Demand between the peaks, as a multiple of the capacity of the healthy targets. */
    private static final double OFF_PEAK_DEMAND = 0.5;

    private static final double[] PEAK_START_SECONDS = {3, 10};

    /** Duration of a peak, including both ramps. */
    private static final double PEAK_SECONDS = 5;

    /** Time in which demand rises at the start of a peak, and falls at its end. */
    private static final double RAMP_SECONDS = 0.5;

    /** No requests arrive after this time. */
    private static final double DURATION_SECONDS = 17;

    /** When the first cold target becomes ready; the others follow at a fixed interval. */
    private static final double FIRST_READY_SECONDS = 3.5;

    private static final double READY_INTERVAL_SECONDS = 0.5;

    /**
     * Standard deviation of the natural logarithm of service times; the 99th percentile is about
     * 4.7 times the mean.
     */
    private static final double SERVICE_TIME_SIGMA = 0.8;

    private static final int ORGANISATION_COUNT = 40;

    /**
     * Load of one request class.
     *
     * @param requestClass class of the requests
     * @param capacityShare share of the healthy targets' capacity that they need at a demand of 1
     * @param meanMillis mean service time on a healthy warm target
     * @param constantRate whether they always arrive at the rate of a demand of 1, also between
     *     peaks
     */
    record RequestStream(
            RequestClass requestClass,
            double capacityShare,
            double meanMillis,
            boolean constantRate) {}

    LoadScenario withPeakDemand(double newPeakDemand) {
        return new LoadScenario(
                name,
                seed,
                targetCount,
                warmTargetCount,
                slotsPerTarget,
                entryNodeCount,
                grayTargetIndex,
                graySlowdown,
                crossZoneNanos,
                policy,
                streams,
                newPeakDemand,
                measuredFromSeconds);
    }

    /** Number of slots of the targets without gray failure, cold ones included. */
    int healthySlots() {
        return (targetCount - (grayTargetIndex >= 0 ? 1 : 0)) * slotsPerTarget;
    }

    /** Virtual time at which a target that is cold at the start becomes ready. */
    long readyAtNanos(int target) {
        double seconds = FIRST_READY_SECONDS + READY_INTERVAL_SECONDS * (target - warmTargetCount);
        return (long) (seconds * NANOS_PER_SECOND);
    }

    /** Whether requests that arrive at a time are measured: those at full peak demand. */
    boolean isMeasured(long nanos) {
        double seconds = (double) nanos / NANOS_PER_SECOND;
        return seconds >= measuredFromSeconds && peakLevel(seconds) >= 1;
    }

    /** Total duration of the measured parts of the peaks, in seconds. */
    double measuredSeconds() {
        double seconds = 0;
        for (double start : PEAK_START_SECONDS) {
            seconds += start >= measuredFromSeconds ? PEAK_SECONDS - 2 * RAMP_SECONDS : 0;
        }
        return seconds;
    }

    /**
     * Generates all requests, ordered by step within each stream. Arrivals are a Poisson process
     * with a varying rate: the expected number of arrivals from one request to the next is
     * exponentially distributed with mean 1.
     */
    List<SimulatedRequest> requests() {
        List<SimulatedRequest> requests = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(seed);
        java.util.Random gaussian = new java.util.Random(seed);
        for (RequestStream stream : streams) {
            double requestsPerSecond =
                    healthySlots() * stream.capacityShare() * 1000 / stream.meanMillis();
            double logMedianNanos =
                    Math.log(stream.meanMillis() * 1e6)
                            - SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2;
            double expectedUntilNext = -Math.log(1 - random.nextDouble());
            for (long stepStartNanos = 0;
                    stepStartNanos < DURATION_SECONDS * NANOS_PER_SECOND;
                    stepStartNanos += STEP_NANOS) {
                double arrivalsPerSecond =
                        requestsPerSecond
                                * demandAt((double) stepStartNanos / NANOS_PER_SECOND, stream);
                expectedUntilNext -= arrivalsPerSecond * STEP_NANOS / NANOS_PER_SECOND;
                while (expectedUntilNext <= 0) {
                    requests.add(
                            new SimulatedRequest(
                                    stepStartNanos + random.nextLong(STEP_NANOS),
                                    random.nextInt(entryNodeCount),
                                    stream.requestClass(),
                                    "o" + random.nextInt(ORGANISATION_COUNT),
                                    (long)
                                            Math.exp(
                                                    logMedianNanos
                                                            + SERVICE_TIME_SIGMA
                                                                    * gaussian.nextGaussian())));
                    expectedUntilNext -= Math.log(1 - random.nextDouble());
                }
            }
        }
        return requests;
    }

    /** Demand of a stream as a multiple of the capacity of the healthy targets. */
    private double demandAt(double seconds, RequestStream stream) {
        double offPeakDemand = Math.min(peakDemand, OFF_PEAK_DEMAND);
        return stream.constantRate()
                ? 1
                : offPeakDemand + (peakDemand - offPeakDemand) * peakLevel(seconds);
    }

    /** 0 between peaks, 1 in a peak, linear in the ramps. */
    private static double peakLevel(double seconds) {
        double level = 0;
        for (double start : PEAK_START_SECONDS) {
            double sinceStart = seconds - start;
            double untilEnd = start + PEAK_SECONDS - seconds;
            level = Math.max(level, Math.min(1, Math.min(sinceStart, untilEnd) / RAMP_SECONDS));
        }
        return Math.max(0, level);
    }
}
