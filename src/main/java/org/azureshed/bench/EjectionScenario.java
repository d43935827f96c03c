package org.azureshed.bench;

/** What happens to the simulated service. The fault, if any, starts at {@link #START_SECONDS}. */
enum EjectionScenario {
    HEALTHY(false, 300),
    SLOW_10X(true, 150),
    SLOW_2X(true, 150),
    ERRORS_20(true, 150),
    ERRORS_50(true, 150),
    QUIET_ERRORS_50(true, 240),
    FLAP_5S(true, 150),
    FLAP_30S(true, 150),
    SLOW_CLASS(true, 150),
    SERVICE_SLOW(false, 300),
    QUIET(false, 300),
    QUIET_ERRORS_5(false, 300),
    NOISY(false, 300),
    HEAVY_TAIL(false, 300),
    DEMAND_SWING(false, 300),
    COLD_START(false, 180);

    static final int START_SECONDS = 60;

    /** Spread of service times: standard deviation of their logarithm. */
    private static final double USUAL_SPREAD = 0.5;

    private static final double NOISY_SPREAD = 1.2;
    private static final double USUAL_ERRORS = 0.005;
    private static final double FAULTY_ERRORS = 0.2;
    private static final double HALF = 0.5;

    /** Share at every target; a service with many errors as a whole has no outlier. */
    private static final double MANY_ERRORS = 0.05;

    /** Leaves a target about one request in two seconds, so that windows have few samples. */
    private static final double QUIET_DEMAND = 0.02;

    private static final double MANY_TIMES = 10;
    private static final double TAIL_SHARE = 0.05;
    private static final double COLD_FACTOR = 4;
    private static final double COLD_SECONDS = 25;
    private static final double SWING_PERIOD_SECONDS = 120;
    private static final double SWING_FACTOR = 2.4;

    private final boolean faulty;
    private final int seconds;

    EjectionScenario(boolean faulty, int seconds) {
        this.faulty = faulty;
        this.seconds = seconds;
    }

    /** Whether target 0 is sick, so that its ejection is right. */
    boolean faulty() {
        return faulty;
    }

    /** Simulated time in seconds. */
    int seconds() {
        return seconds;
    }

    double spread() {
        return this == NOISY ? NOISY_SPREAD : USUAL_SPREAD;
    }

    /** Share of the requests that take ten times as long at every target. */
    double tailShare() {
        return this == HEAVY_TAIL ? TAIL_SHARE : 0;
    }

    /** Factor on the service time of a target. */
    double slowdown(int target, int requestClass, double seconds) {
        double since = seconds - START_SECONDS;
        if (since < 0 || target != 0 && this != SERVICE_SLOW) {
            return 1;
        }
        return switch (this) {
            case SLOW_10X -> MANY_TIMES;
            case SLOW_2X -> 2;
            case FLAP_5S -> since % 5 < 2.5 ? MANY_TIMES : 1;
            case FLAP_30S -> since % 30 < 15 ? MANY_TIMES : 1;
            case SLOW_CLASS -> requestClass == 1 ? MANY_TIMES : 1;
            // Slow for a minute in every five.
            case SERVICE_SLOW -> since % 300 < 60 ? 3 : 1;
            case COLD_START ->
                    1 + (COLD_FACTOR - 1) * Math.max(0, 1 - Math.max(0, since - 5) / COLD_SECONDS);
            default -> 1;
        };
    }

    double errorShare(int target, double seconds) {
        if (target == 0 && seconds >= START_SECONDS) {
            return switch (this) {
                case ERRORS_20 -> FAULTY_ERRORS;
                case ERRORS_50, QUIET_ERRORS_50 -> HALF;
                default -> usualErrors();
            };
        }
        return usualErrors();
    }

    private double usualErrors() {
        return this == QUIET_ERRORS_5 ? MANY_ERRORS : USUAL_ERRORS;
    }

    /** Factor on the arrival rate: a swing lasts 30 s in every two minutes. */
    double demand(double seconds) {
        if (this == QUIET || this == QUIET_ERRORS_5 || this == QUIET_ERRORS_50) {
            return QUIET_DEMAND;
        }
        boolean peak =
                this == DEMAND_SWING
                        && seconds >= START_SECONDS
                        && (seconds - START_SECONDS) % SWING_PERIOD_SECONDS < 30;
        return peak ? SWING_FACTOR : 1;
    }

    /** Whether target 0 has restarted and is not ready yet. */
    boolean starting(int target, double seconds) {
        double since = seconds - START_SECONDS;
        return this == COLD_START && target == 0 && since >= 0 && since < 5;
    }

    String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
