package org.azureshed.bench;

/**
 * Fault or load pattern of a simulated service. Faults, swings of demand and the cold start begin
 * at {@link #FAULT_START_SECONDS}; what distinguishes the other scenarios applies to the whole run.
 */
enum EjectionScenario {
    /** No fault. */
    HEALTHY(false, 300),
    /** Target 0 takes 10 times as long. */
    SLOW_10X(true, 150),
    /** Target 0 takes twice as long. */
    SLOW_2X(true, 150),
    /** 20% of the requests to target 0 fail. */
    ERRORS_20(true, 150),
    /** Half of the requests to target 0 fail. */
    ERRORS_50(true, 150),
    /** Half of the requests to target 0 fail, in a service with few requests. */
    QUIET_ERRORS_50(true, 240),
    /** Target 0 takes 10 times as long in the first half of every 5 s. */
    FLAP_5S(true, 150),
    /** Target 0 takes 10 times as long in the first half of every 30 s. */
    FLAP_30S(true, 150),
    /** Target 0 takes 10 times as long for long-running requests. */
    SLOW_CLASS(true, 150),
    /** All targets take 3 times as long for a minute. */
    SERVICE_SLOW(false, 300),
    /** Few requests. */
    QUIET(false, 300),
    /** Few requests, 5% of which fail at every target. */
    QUIET_ERRORS_5(false, 300),
    /** Service times vary more than usual at every target. */
    NOISY(false, 300),
    /** 5% of the requests take 10 times as long at every target. */
    HEAVY_TAIL(false, 300),
    /** Demand exceeds the capacity for 30 s in every two minutes. */
    DEMAND_SWING(false, 300),
    /** Target 0 restarts, is not ready for 5 s and then slow until it has warmed up. */
    COLD_START(false, 180);

    /** Virtual time at which faults begin. Requests that arrive earlier are not counted. */
    static final int FAULT_START_SECONDS = 60;

    /** Standard deviation of the natural logarithm of service times. */
    private static final double USUAL_SIGMA = 0.5;

    private static final double NOISY_SIGMA = 1.2;

    /** Share of failed requests, 0 to 1, at a target without fault. */
    private static final double USUAL_ERROR_SHARE = 0.005;

    /** Share of failed requests at the faulty target of {@link #ERRORS_20}. */
    private static final double FAULTY_ERROR_SHARE = 0.2;

    /** The same for {@link #ERRORS_50} and {@link #QUIET_ERRORS_50}. */
    private static final double HIGH_ERROR_SHARE = 0.5;

    /**
     * Error share of every target in {@link #QUIET_ERRORS_5}; if all targets fail as often, none of
     * them is an outlier.
     */
    private static final double SERVICE_ERROR_SHARE = 0.05;

    /**
     * Factor on demand that leaves each target one request in two to four seconds, so that the
     * detector's windows have few samples.
     */
    private static final double QUIET_DEMAND = 0.02;

    /** Factor on the service times of a slow target or class. */
    private static final double SLOW_FACTOR = 10;

    private static final double TAIL_SHARE = 0.05;

    /** Slowdown of a cold target when it becomes ready; decreases linearly to 1. */
    private static final double COLD_SLOWDOWN = 4;

    /** Time from readiness until a cold target has its normal speed. */
    private static final double WARM_UP_SECONDS = 25;

    private static final double SWING_PERIOD_SECONDS = 120;

    /** Factor on demand during a peak. */
    private static final double SWING_DEMAND = 2.4;

    private final boolean faulty;
    private final int durationSeconds;

    EjectionScenario(boolean faulty, int durationSeconds) {
        this.faulty = faulty;
        this.durationSeconds = durationSeconds;
    }

    /** Whether target 0 has a fault, so that its ejection is not counted as false. */
    boolean faulty() {
        return faulty;
    }

    /** Virtual duration of a run, including the time before the fault starts. */
    int durationSeconds() {
        return durationSeconds;
    }

    /** Standard deviation of the natural logarithm of service times. */
    double serviceTimeSigma() {
        return this == NOISY ? NOISY_SIGMA : USUAL_SIGMA;
    }

    /** Share of the requests, 0 to 1, that take ten times as long at every target. */
    double tailShare() {
        return this == HEAVY_TAIL ? TAIL_SHARE : 0;
    }

    /**
     * Factor on the service time of a target.
     *
     * @param classIndex index of the request's class in the workload; 1 is long-running
     * @param seconds virtual time
     */
    double slowdown(int targetIndex, int classIndex, double seconds) {
        double secondsSinceStart = seconds - FAULT_START_SECONDS;
        if (secondsSinceStart < 0 || targetIndex != 0 && this != SERVICE_SLOW) {
            return 1;
        }
        return switch (this) {
            case SLOW_10X -> SLOW_FACTOR;
            case SLOW_2X -> 2;
            case FLAP_5S -> secondsSinceStart % 5 < 2.5 ? SLOW_FACTOR : 1;
            case FLAP_30S -> secondsSinceStart % 30 < 15 ? SLOW_FACTOR : 1;
            case SLOW_CLASS -> classIndex == 1 ? SLOW_FACTOR : 1;
            // Slow for one minute in every five.
            case SERVICE_SLOW -> secondsSinceStart % 300 < 60 ? 3 : 1;
            case COLD_START ->
                    1
                            + (COLD_SLOWDOWN - 1)
                                    * Math.max(
                                            0,
                                            1
                                                    - Math.max(0, secondsSinceStart - 5)
                                                            / WARM_UP_SECONDS);
            default -> 1;
        };
    }

    /** Share of a target's requests, 0 to 1, that fail. */
    double errorShare(int targetIndex, double seconds) {
        if (targetIndex == 0 && seconds >= FAULT_START_SECONDS) {
            return switch (this) {
                case ERRORS_20 -> FAULTY_ERROR_SHARE;
                case ERRORS_50, QUIET_ERRORS_50 -> HIGH_ERROR_SHARE;
                default -> baselineErrorShare();
            };
        }
        return baselineErrorShare();
    }

    private double baselineErrorShare() {
        return this == QUIET_ERRORS_5 ? SERVICE_ERROR_SHARE : USUAL_ERROR_SHARE;
    }

    /** Factor on the arrival rate; a peak lasts 30 s in every two minutes. */
    double demandFactor(double seconds) {
        if (this == QUIET || this == QUIET_ERRORS_5 || this == QUIET_ERRORS_50) {
            return QUIET_DEMAND;
        }
        boolean peak =
                this == DEMAND_SWING
                        && seconds >= FAULT_START_SECONDS
                        && (seconds - FAULT_START_SECONDS) % SWING_PERIOD_SECONDS < 30;
        return peak ? SWING_DEMAND : 1;
    }

    /** Whether a target has restarted and is not ready yet. */
    boolean starting(int targetIndex, double seconds) {
        double secondsSinceStart = seconds - FAULT_START_SECONDS;
        return this == COLD_START
                && targetIndex == 0
                && secondsSinceStart >= 0
                && secondsSinceStart < 5;
    }

    /** The name in printed lines. */
    String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
