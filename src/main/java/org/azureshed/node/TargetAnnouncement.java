package org.azureshed.node;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.Locale;
import org.azureshed.model.Endpoint;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/**
 * JSON body of a target's announcement.
 *
 * @param id target id, unique in the fleet
 * @param service service that it is an instance of
 * @param address host and port where the node reaches it
 * @param slots number of requests that the target runs concurrently
 * @param state starting, ready or draining
 */
record TargetAnnouncement(
        @JsonProperty(required = true) String id,
        @JsonProperty(required = true) String service,
        @JsonProperty(required = true) String address,
        @JsonProperty(required = true) int slots,
        @JsonProperty(required = true) String state) {
    /**
     * Converts the announcement to the model type.
     *
     * @return the announced target
     * @throws IllegalArgumentException if a field is malformed
     */
    TargetInfo toTarget() {
        return new TargetInfo(
                new TargetId(id), service, Endpoint.parse(address), slots, parseState(state));
    }

    private static TargetState parseState(String text) {
        try {
            return TargetState.valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "state \"" + text + "\" is unknown; use starting, ready or draining", e);
        }
    }
}
