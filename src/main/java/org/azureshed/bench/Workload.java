package org.azureshed.bench;

/**
 * Parameters of one simulated service.
 *
 * @param label name in the results
 * @param minTargets smallest number of instances
 * @param maxTargets largest number of instances
 * @param slots slots of an instance
 * @param classes request classes
 * @param utilisation share of the slots in use on average
 */
record Workload(
        String label,
        int minTargets,
        int maxTargets,
        int slots,
        SimulatedClass[] classes,
        double utilisation) {
    /**
     * A class of requests.
     *
     * @param name its name
     * @param share share of the requests
     * @param medianMicros median service time at a healthy target
     * @param deadlineMicros time allowed at the target
     */
    record SimulatedClass(String name, double share, double medianMicros, long deadlineMicros) {}

    static Workload[] all() {
        return new Workload[] {
            new Workload(
                    "archive",
                    8,
                    11,
                    4,
                    new SimulatedClass[] {
                        new SimulatedClass("page", 0.85, 50_000, 2_000_000),
                        new SimulatedClass("export", 0.15, 250_000, 10_000_000)
                    },
                    0.5),
            new Workload(
                    "well-records",
                    8,
                    8,
                    5,
                    new SimulatedClass[] {
                        new SimulatedClass("filing", 0.7, 80_000, 2_000_000),
                        new SimulatedClass("survey", 0.3, 400_000, 10_000_000)
                    },
                    0.5)
        };
    }
}
