package org.azureshed.traffic;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.azureshed.dispatch.OfferMode;
import org.azureshed.dispatch.RequestOrigin;

/**
 * The header with which an entry side offers a request to the host side of a node.
 *
 * @param targetId identifier of the target
 * @param mode whether the request may be queued, and whether a suspect target may take it
 * @param origin whether the request is a follow-up call
 * @param priority priority in the queue; 0 is served first
 * @param repeatable whether the request may run more than once
 * @param retry whether this is a retry: a target has already received the request
 * @param retryInduced whether the request may be a call made by a target while it ran a retry
 * @param route name of the request's route: requests of one route need similar work
 * @param organisation name of the caller's organisation; empty if there is none
 * @param softDeadlineMillis time left until the soft deadline; negative once it has passed
 * @param leftMillis time left until the deadline
 * @param hasBody whether the caller sent a body, possibly an empty one
 * @param bodyBytes length of the body in bytes; 0 if there is none or it is not known
 */
record OfferHeader(
        String targetId,
        OfferMode mode,
        RequestOrigin origin,
        int priority,
        boolean repeatable,
        boolean retry,
        boolean retryInduced,
        String route,
        String organisation,
        long softDeadlineMillis,
        long leftMillis,
        boolean hasBody,
        int bodyBytes) {
    static final String NAME = "Azureshed-Offer";

    /** Formats the header. Keys are short, because every offer of every request carries it. */
    String encode() {
        return "t="
                + targetId
                + ";m="
                + mode
                + ";o="
                + origin
                + ";p="
                + priority
                + ";r="
                + bit(repeatable)
                + ";a="
                + bit(retry)
                + ";d="
                + bit(retryInduced)
                + ";n="
                + URLEncoder.encode(route, StandardCharsets.UTF_8)
                + ";g="
                + URLEncoder.encode(organisation, StandardCharsets.UTF_8)
                + ";u="
                + softDeadlineMillis
                + ";l="
                + leftMillis
                + ";b="
                + bit(hasBody)
                + ";s="
                + bodyBytes;
    }

    /**
     * Parses the header.
     *
     * @throws IllegalArgumentException if a part is missing or malformed
     */
    static OfferHeader decode(String text) {
        Map<String, String> parts = Splitter.on(';').withKeyValueSeparator('=').split(text);
        return new OfferHeader(
                part(parts, "t"),
                OfferMode.valueOf(part(parts, "m")),
                RequestOrigin.valueOf(part(parts, "o")),
                Integer.parseInt(part(parts, "p")),
                part(parts, "r").equals("1"),
                part(parts, "a").equals("1"),
                part(parts, "d").equals("1"),
                name(parts, "n"),
                name(parts, "g"),
                Long.parseLong(part(parts, "u")),
                Long.parseLong(part(parts, "l")),
                part(parts, "b").equals("1"),
                bodyBytes(parts));
    }

    /** Nodes of an earlier version do not name the length; room is then made as bytes arrive. */
    private static int bodyBytes(Map<String, String> parts) {
        int bytes = Integer.parseInt(parts.getOrDefault("s", "0"));
        checkArgument(bytes >= 0, "negative length of the body: %s", bytes);
        return bytes;
    }

    /** Nodes of an earlier version send no names. */
    private static String name(Map<String, String> parts, String key) {
        return URLDecoder.decode(parts.getOrDefault(key, ""), StandardCharsets.UTF_8);
    }

    private static char bit(boolean value) {
        return value ? '1' : '0';
    }

    private static String part(Map<String, String> parts, String name) {
        String value = parts.get(name);
        if (value == null) {
            throw new IllegalArgumentException("offer header has no key " + name);
        }
        return value;
    }
}
