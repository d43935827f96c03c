package org.azureshed.bench;

/**
 * Parameters of one simulated service.
 *
 * @param label name in printed lines
 * @param minTargets smallest number of targets; the seed determines the actual number
 * @param maxTargets largest number of targets
 * @param slots slots of each target
 * @param classes request classes; the first is short, the second long-running
 * @param utilisation average share of the slots in use, 0 to 1, at normal demand, if requests at a
 *     target did not slow each other down
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
     * @param name name of the class
     * @param share share of the service's requests, 0 to 1
     * @param medianMicros median service time at a healthy target whose other slots are free
     * @param deadlineMicros longest service time; a longer one is cut off and fails
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
