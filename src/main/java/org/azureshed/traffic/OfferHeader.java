package org.azureshed.traffic;

import com.google.common.base.Splitter;
import java.util.Map;
import org.azureshed.dispatch.OfferMode;

/**
 * The header by which a node offers a request to another node's target.
 *
 * @param targetId identifier of the target
 * @param mode what the host side may do with the request
 * @param priority rank; 0 is served first
 * @param repeatable whether the request may run more than once
 * @param repeat whether a target has received the request before
 * @param derived whether it may be a call of a run that was itself a repeat
 * @param usefulMillis time left in which its answer is worth most; negative if it is late
 * @param leftMillis time left for its answer
 * @param hasBody whether the caller sent a body, possibly an empty one
 */
record OfferHeader(
        String targetId,
        OfferMode mode,
        int priority,
        boolean repeatable,
        boolean repeat,
        boolean derived,
        long usefulMillis,
        long leftMillis,
        boolean hasBody) {
    static final String NAME = "Azureshed-Offer";

    String encode() {
        return "target="
                + targetId
                + ";mode="
                + mode
                + ";priority="
                + priority
                + ";repeatable="
                + repeatable
                + ";repeat="
                + repeat
                + ";derived="
                + derived
                + ";useful="
                + usefulMillis
                + ";left="
                + leftMillis
                + ";body="
                + hasBody;
    }

    /**
     * Reads the header.
     *
     * @throws IllegalArgumentException if a part is missing or malformed
     */
    static OfferHeader decode(String text) {
        Map<String, String> parts = Splitter.on(';').withKeyValueSeparator('=').split(text);
        return new OfferHeader(
                part(parts, "target"),
                OfferMode.valueOf(part(parts, "mode")),
                Integer.parseInt(part(parts, "priority")),
                Boolean.parseBoolean(part(parts, "repeatable")),
                Boolean.parseBoolean(part(parts, "repeat")),
                Boolean.parseBoolean(part(parts, "derived")),
                Long.parseLong(part(parts, "useful")),
                Long.parseLong(part(parts, "left")),
                Boolean.parseBoolean(part(parts, "body")));
    }

    private static String part(Map<String, String> parts, String name) {
        String value = parts.get(name);
        if (value == null) {
            throw new IllegalArgumentException("offer header without " + name);
        }
        return value;
    }
}
