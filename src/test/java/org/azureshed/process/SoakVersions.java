package org.azureshed.process;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Versions of the configuration: the newest, and which one each node has shown. Thread-safe. */
final class SoakVersions {
    private final Map<Integer, Seen> seen = new ConcurrentHashMap<>();
    private volatile Version newest = new Version(1, System.nanoTime());

    /** A version and when the store accepted it. */
    record Version(long number, long acceptedNanos) {}

    private record Seen(long version, long atNanos) {}

    Version newest() {
        return newest;
    }

    void accepted(long number) {
        newest = new Version(number, System.nanoTime());
    }

    /** A node handled a request as a version tells. */
    void saw(int node, long version, long nowNanos) {
        seen.merge(
                node,
                new Seen(version, nowNanos),
                (old, next) -> next.version() > old.version() ? next : old);
    }

    /** A node's process has ended; the next one starts with nothing. */
    void forget(int node) {
        seen.remove(node);
    }

    /** Version that a node had shown before a time; 0 if none. */
    long seen(int node, long beforeNanos) {
        Seen known = seen.get(node);
        return known != null && known.atNanos() - beforeNanos < 0 ? known.version() : 0;
    }
}
