package org.azureshed.idempotency;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Assigns owners and successors to key ranges by rendezvous hashing over the reachable nodes.
 *
 * <p>Each range has one best candidate, so at most {@link KeyRange#COUNT} nodes own ranges. The
 * placement only decides which node takes a range that has no owner and which nodes an owner names
 * as successors. It never takes a range from a running owner, so ranges move only when owners stop
 * or fail.
 */
public final class RangePlacement {
    private static final int SUCCESSORS = 2;
    // Multipliers and increment of SplitMix64.
    private static final long MIX_FIRST = 0xbf58476d1ce4e5b9L;
    private static final long MIX_SECOND = 0x94d049bb133111ebL;
    private static final long RANGE_STEP = 0x9e3779b97f4a7c15L;

    private final List<OwnerCandidate> candidates;
    private final long[] hashes;

    /**
     * Creates a placement.
     *
     * @param candidates reachable nodes that are not stopping, including this one
     */
    public RangePlacement(List<OwnerCandidate> candidates) {
        this.candidates = List.copyOf(candidates);
        // The incarnation is not hashed, because a restart must not move ranges.
        this.hashes =
                this.candidates.stream()
                        .mapToLong(candidate -> hash(candidate.instance().node().value()))
                        .toArray();
    }

    /**
     * The node that takes a range without an owner.
     *
     * @param range the range
     * @return its best candidate, or empty if no node is reachable
     */
    public Optional<NodeInstance> best(KeyRange range) {
        int best = -1;
        for (int i = 0; i < hashes.length; i++) {
            if (best < 0 || score(range, i) > score(range, best)) {
                best = i;
            }
        }
        return best < 0 ? Optional.empty() : Optional.of(candidates.get(best).instance());
    }

    /**
     * Chooses the successors of a range. Reachable ones are kept; others are replaced by the best
     * candidates in other availability zones than the holder's and each other's, or in any zone if
     * there are too few.
     *
     * @param range the range
     * @param holder owner of the range
     * @param current successors that the current lease names; empty if there is none
     * @return at most two instances
     */
    public List<NodeInstance> successors(
            KeyRange range, NodeInstance holder, List<NodeInstance> current) {
        List<OwnerCandidate> ranked = new ArrayList<>();
        Set<String> zones = new HashSet<>();
        List<NodeInstance> chosen = new ArrayList<>();
        for (int i : ranking(range)) {
            OwnerCandidate candidate = candidates.get(i);
            if (candidate.instance().equals(holder)) {
                zones.add(candidate.availabilityZone());
            } else if (current.contains(candidate.instance())) {
                zones.add(candidate.availabilityZone());
                chosen.add(candidate.instance());
            } else if (!candidate.instance().node().equals(holder.node())) {
                ranked.add(candidate);
            }
        }
        for (OwnerCandidate candidate : ranked) {
            if (chosen.size() < SUCCESSORS && zones.add(candidate.availabilityZone())) {
                chosen.add(candidate.instance());
            }
        }
        for (OwnerCandidate candidate : ranked) {
            if (chosen.size() < SUCCESSORS && !chosen.contains(candidate.instance())) {
                chosen.add(candidate.instance());
            }
        }
        return chosen;
    }

    private List<Integer> ranking(KeyRange range) {
        List<Integer> order = new ArrayList<>();
        for (int i = 0; i < hashes.length; i++) {
            order.add(i);
        }
        order.sort(Comparator.comparingLong((Integer i) -> score(range, i)).reversed());
        return order;
    }

    private long score(KeyRange range, int candidate) {
        long mixed = hashes[candidate] + range.number() * RANGE_STEP;
        mixed = (mixed ^ (mixed >>> 30)) * MIX_FIRST;
        mixed = (mixed ^ (mixed >>> 27)) * MIX_SECOND;
        return mixed ^ (mixed >>> 31);
    }

    private static long hash(String node) {
        return Hashing.murmur3_128().hashString(node, StandardCharsets.UTF_8).asLong();
    }
}
