package org.azureshed.preset;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.azureshed.platform.ObjectKey;

/**
 * The stored object that lists all presets and names the preset in force. Every change replaces it
 * with a single conditional write.
 *
 * @param activationNumber number of the last activation; 0 before the first one
 * @param inForce name of the preset in force; empty before the first activation
 * @param presets the presets by name
 * @param lastChange number of the last change; 0 before the first one
 * @param changes the last changes, oldest first, at most {@link #MAX_CHANGES}
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record PresetIndex(
        long activationNumber,
        String inForce,
        Map<String, Entry> presets,
        long lastChange,
        List<PresetChange> changes) {
    /** Name of the index in the platform's store. */
    public static final ObjectKey KEY = new ObjectKey("preset", "index");

    /** Number of changes that the index holds; each older change is archived in its own object. */
    public static final int MAX_CHANGES = 200;

    private static final ObjectMapper JSON =
            new ObjectMapper().enable(SerializationFeature.ORDER_MAP_ENTRIES_BY_KEYS);

    /**
     * The current revision of one preset.
     *
     * @param manifest sha256 digest of its manifest in hexadecimal
     * @param revision number of times that this preset was put, from 1
     * @param reason the operator's reason for this revision
     * @param operator name of the operator
     * @param timeMillis time of the revision in milliseconds since the epoch
     */
    @JsonIgnoreProperties(ignoreUnknown = true)
    public record Entry(
            String manifest, long revision, String reason, String operator, long timeMillis) {}

    /**
     * Who made a change, when and why.
     *
     * @param operationId unique id of the change
     * @param reason the operator's reason
     * @param operator name of the operator
     * @param timeMillis time in milliseconds since the epoch
     * @param fleetNumber highest activation number that the nodes report; 0 if none was reported
     */
    record Origin(
            String operationId,
            String reason,
            String operator,
            long timeMillis,
            long fleetNumber) {}

    /** Makes unmodifiable copies of the collections. */
    public PresetIndex {
        presets = Map.copyOf(presets);
        changes = List.copyOf(changes);
    }

    /**
     * The index before the first change.
     *
     * @return an empty index
     */
    public static PresetIndex empty() {
        return new PresetIndex(0, "", Map.of(), 0, List.of());
    }

    /**
     * Reads an index.
     *
     * @param content value of the object
     * @return the index, or {@link PresetError.Corrupt}
     */
    public static Either<PresetError, PresetIndex> decode(byte[] content) {
        try {
            return Either.right(JSON.readValue(content, PresetIndex.class));
        } catch (IOException | RuntimeException e) {
            return Either.left(
                    new PresetError.Corrupt(
                            KEY.toString(),
                            String.valueOf(e.getMessage()).lines().findFirst().orElse(""),
                            "restore the object from a copy of the platform, or delete it and put"
                                    + " all presets again from their files"));
        }
    }

    /**
     * Writes this index.
     *
     * @return value of the object
     */
    public byte[] encode() {
        return encode(this);
    }

    static byte[] encode(Object value) {
        try {
            return JSON.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record cannot be written as JSON", e);
        }
    }

    static Optional<PresetChange> decodeChange(byte[] content) {
        try {
            return Optional.of(JSON.readValue(content, PresetChange.class));
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /**
     * The preset in force.
     *
     * @return its entry, or empty before the first activation
     */
    public Optional<Entry> entryInForce() {
        return Optional.ofNullable(presets.get(inForce));
    }

    /**
     * Finds a change that the index still holds.
     *
     * @param number number of the change
     * @return the change, or empty if it was archived or does not exist
     */
    public Optional<PresetChange> change(long number) {
        return changes.stream().filter(change -> change.number() == number).findFirst();
    }

    /**
     * Finds the change that caused the current activation. Later changes of other presets carry the
     * same activation number.
     *
     * @return the change, or empty if it was archived or no preset was activated yet
     */
    public Optional<PresetChange> activation() {
        return changes.stream()
                .filter(change -> change.activationNumber() == activationNumber)
                .filter(change -> change.preset().equals(inForce))
                .findFirst();
    }

    /** Returns the index that results from replacing a preset's content. */
    PresetIndex afterPut(String preset, String manifest, Origin origin) {
        long revision = revision(preset) + 1;
        Map<String, Entry> next = new TreeMap<>(presets);
        next.put(
                preset,
                new Entry(
                        manifest,
                        revision,
                        origin.reason(),
                        origin.operator(),
                        origin.timeMillis()));
        long number = preset.equals(inForce) ? nextActivation(origin) : activationNumber;
        return after(PresetChange.Kind.PUT, preset, revision, number, inForce, next, origin);
    }

    /** Returns the index that results from putting a preset in force. */
    PresetIndex afterUse(String preset, Origin origin) {
        long number = nextActivation(origin);
        return after(
                PresetChange.Kind.USE, preset, revision(preset), number, preset, presets, origin);
    }

    long revision(String preset) {
        return presets.containsKey(preset) ? presets.get(preset).revision() : 0;
    }

    /** Returns the changes of this index that {@code next} no longer holds. */
    List<PresetChange> droppedIn(PresetIndex next) {
        long oldestKept = next.changes().getFirst().number();
        return changes.stream().filter(change -> change.number() < oldestKept).toList();
    }

    private long nextActivation(Origin origin) {
        return Math.max(activationNumber, origin.fleetNumber()) + 1;
    }

    private PresetIndex after(
            PresetChange.Kind kind,
            String preset,
            long revision,
            long number,
            String nextInForce,
            Map<String, Entry> nextPresets,
            Origin origin) {
        List<PresetChange> kept = new ArrayList<>(changes);
        kept.add(
                new PresetChange(
                        lastChange + 1,
                        origin.operationId(),
                        kind,
                        preset,
                        revision,
                        number,
                        origin.reason(),
                        origin.operator(),
                        origin.timeMillis()));
        List<PresetChange> last = kept.subList(Math.max(0, kept.size() - MAX_CHANGES), kept.size());
        return new PresetIndex(number, nextInForce, nextPresets, lastChange + 1, last);
    }
}
