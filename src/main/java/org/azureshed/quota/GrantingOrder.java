package org.azureshed.quota;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Order in which nodes are asked to grant the requests of an organisation, by rendezvous hashing:
 * all nodes that know the same fleet compute the same order, a node that joins or leaves changes it
 * for few organisations, and no node grants for many of them.
 */
final class GrantingOrder {
    /**
     * Organisations whose order is kept. At 2,400 nodes they take about 10 MB; an order that is not
     * kept costs 2,400 hashes.
     */
    private static final int MAX_REMEMBERED = 1_000;

    /** The orders that were used last. */
    private final Map<String, List<String>> orders =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, List<String>> eldest) {
                    return size() > MAX_REMEMBERED;
                }
            };

    private List<String> nodes = List.of();

    /** Returns the nodes in the order for an organisation; the first one grants. */
    List<String> of(String organisation, List<String> names) {
        if (!nodes.equals(names)) {
            nodes = List.copyOf(names);
            orders.clear();
        }
        return orders.computeIfAbsent(organisation, this::compute);
    }

    /** Returns the number of organisations whose order is kept in memory. */
    int remembered() {
        return orders.size();
    }

    private List<String> compute(String organisation) {
        Map<String, Long> weights = new HashMap<>();
        for (String node : nodes) {
            String text = organisation + '\n' + node;
            weights.put(
                    node, Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong());
        }
        return nodes.stream()
                .sorted(
                        Comparator.<String>comparingLong(weights::get)
                                .thenComparing(Comparator.naturalOrder()))
                .toList();
    }
}
