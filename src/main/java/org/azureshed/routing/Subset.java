package org.azureshed.routing;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import org.azureshed.model.NodeId;

/** Deterministic subsetting: chooses the ready targets that one entry node connects to. */
final class Subset {
    /** Connections that a target of the services in use accepts. */
    private static final int CONNECTIONS_PER_TARGET = 350;

    /** Leaves targets to choose from when some are tried, avoided or ejected. */
    static final int MINIMUM_SIZE = 4;

    private Subset() {}

    /**
     * Number of targets in a subset. If every entry node keeps one connection to each target of its
     * subset, a target has about {@value #CONNECTIONS_PER_TARGET} connections: size = 350 x targets
     * / entry nodes, at least {@value #MINIMUM_SIZE}. For 56 targets and 2,400 entry nodes it is 8.
     */
    static int size(int targets, int entryNodes) {
        long size = (long) CONNECTIONS_PER_TARGET * targets / Math.max(1, entryNodes);
        return (int) Math.min(targets, Math.max(MINIMUM_SIZE, size));
    }

    /**
     * Returns the targets with the highest rendezvous hash of entry node and target. The subset
     * changes little when a target comes or goes.
     */
    static List<Candidate> of(NodeId self, List<Candidate> ready, int entryNodes) {
        int size = size(ready.size(), entryNodes);
        if (size == ready.size()) {
            return List.copyOf(ready);
        }
        return ready.stream()
                .map(candidate -> new Ranked(candidate, rank(self, candidate)))
                .sorted(Comparator.comparingLong(Ranked::rank).reversed())
                .limit(size)
                .map(Ranked::candidate)
                .toList();
    }

    private static long rank(NodeId self, Candidate candidate) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(self.value(), StandardCharsets.UTF_8)
                .putChar('|')
                .putString(candidate.target().id().value(), StandardCharsets.UTF_8)
                .hash()
                .asLong();
    }

    /** A candidate and its rendezvous hash. */
    private record Ranked(Candidate candidate, long rank) {}
}
