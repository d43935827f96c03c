package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Departures that a node has acknowledged: for each target id the latest start that has departed.
 * That start and all earlier ones must not be used again, whichever process learns of them. A later
 * start under the same id is another target.
 *
 * <p>Immutable. The union of two sets does not depend on the order in which they were gathered. At
 * most {@link #MAX_SIZE} ids are kept; the one with the oldest start is forgotten first, as late
 * news of it is the least likely.
 *
 * @param lastStarts Unix time in milliseconds of the last departed start, by target id
 */
public record Departures(Map<String, Long> lastStarts) {
    /** Far more targets than succeed one another at a node while news of a departed one is late. */
    public static final int MAX_SIZE = 64;

    /** No departures. */
    public static final Departures NONE = new Departures(Map.of());

    /** Copies the map and checks its size. */
    public Departures {
        checkArgument(lastStarts.size() <= MAX_SIZE, "more than %s departures", MAX_SIZE);
        lastStarts.keySet().forEach(TargetEntry::checkId);
        lastStarts = Map.copyOf(lastStarts);
    }

    /**
     * Adds a departure.
     *
     * @param id identifier of the target
     * @param startMillis Unix time of the departed start in milliseconds
     * @return departures with this one
     */
    public Departures with(String id, long startMillis) {
        return covers(id, startMillis) ? this : union(new Departures(Map.of(id, startMillis)));
    }

    /**
     * Combines two sets.
     *
     * @param other the other set
     * @return the later start for each id of both
     */
    public Departures union(Departures other) {
        if (containsAll(other)) {
            return this;
        }
        Map<String, Long> merged = new HashMap<>(lastStarts);
        other.lastStarts.forEach((id, start) -> merged.merge(id, start, Math::max));
        return new Departures(newest(merged));
    }

    private static Map<String, Long> newest(Map<String, Long> starts) {
        if (starts.size() <= MAX_SIZE) {
            return starts;
        }
        List<Map.Entry<String, Long>> sorted =
                starts.entrySet().stream()
                        .sorted(
                                Map.Entry.<String, Long>comparingByValue(Comparator.reverseOrder())
                                        .thenComparing(Map.Entry.comparingByKey()))
                        .limit(MAX_SIZE)
                        .toList();
        return Map.ofEntries(sorted.toArray(Map.Entry[]::new));
    }

    /**
     * Whether a start of a target has departed.
     *
     * @param id identifier of the target
     * @param startMillis Unix time of the start in milliseconds
     * @return true if this start must not be used again
     */
    public boolean covers(String id, long startMillis) {
        Long departed = lastStarts.get(id);
        return departed != null && startMillis <= departed;
    }

    /**
     * Whether this set has all departures of another one.
     *
     * @param other the other set
     * @return true if the union of both equals this set
     */
    public boolean containsAll(Departures other) {
        return other.lastStarts.entrySet().stream()
                .allMatch(departure -> covers(departure.getKey(), departure.getValue()));
    }
}
