package org.azureshed.process;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Records the newest version of the configuration and, for each node, the newest one that it was
 * seen to use, with the time of the first such observation. Thread-safe.
 */
final class SoakVersions {
    private final Map<Integer, Observation> observations = new ConcurrentHashMap<>();
    private volatile Version newest = new Version(1, System.nanoTime());

    /** A version and the time at which the store accepted it. */
    record Version(long number, long acceptedNanos) {}

    private record Observation(long version, long atNanos) {}

    Version newest() {
        return newest;
    }

    void recordAccepted(long number) {
        newest = new Version(number, System.nanoTime());
    }

    /** Records that a node handled a request by the routes of a version. */
    void recordObservation(int node, long version, long nowNanos) {
        observations.merge(
                node,
                new Observation(version, nowNanos),
                (previous, current) -> current.version() > previous.version() ? current : previous);
    }

    /** Forgets what a node has used, since its process has exited and lost its configuration. */
    void forgetNode(int node) {
        observations.remove(node);
    }

    /**
     * Returns the newest version that a node was seen to use; 0 if there is none or it was first
     * seen at or after the given time.
     */
    long observedVersion(int node, long beforeNanos) {
        Observation observation = observations.get(node);
        return observation != null && observation.atNanos() - beforeNanos < 0
                ? observation.version()
                : 0;
    }
}
