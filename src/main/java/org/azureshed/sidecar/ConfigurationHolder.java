package org.azureshed.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.azureshed.dispatch.TrafficConfiguration;
import org.azureshed.telemetry.DecisionLog;

/**
 * Holds the active configuration, which comes from the store or from another node. An older version
 * never replaces a newer one. Runs on one event loop.
 */
final class ConfigurationHolder {
    private final Function<JsonNode, TrafficConfiguration> decoder;
    private final Consumer<TrafficConfiguration> onChange;
    private final LongSupplier storeAgeMillis;
    private final DecisionLog log;
    private Optional<JsonNode> content = Optional.empty();
    private long version;

    ConfigurationHolder(
            Function<JsonNode, TrafficConfiguration> decoder,
            Consumer<TrafficConfiguration> onChange,
            LongSupplier storeAgeMillis,
            DecisionLog log) {
        this.decoder = decoder;
        this.onChange = onChange;
        this.storeAgeMillis = storeAgeMillis;
        this.log = log;
    }

    /**
     * Activates a configuration if it is newer than the active one; logs one that is malformed.
     *
     * @return whether it was activated
     */
    boolean applyIfNewer(JsonNode encoded, String source) {
        TrafficConfiguration decoded;
        try {
            decoded = decoder.apply(encoded);
        } catch (RuntimeException e) {
            // Any error in decoding must leave the active configuration in force.
            log.write("configuration_unreadable", "source", source, "cause", e);
            return false;
        }
        if (content.isPresent() && decoded.version() <= version) {
            return false;
        }
        log.write(
                "configuration_in_force",
                "version",
                decoded.version(),
                "before",
                version,
                "source",
                source,
                "store_ms",
                storeAgeMillis.getAsLong());
        version = decoded.version();
        content = Optional.of(encoded);
        onChange.accept(decoded);
        return true;
    }

    long version() {
        return version;
    }

    Optional<JsonNode> content() {
        return content;
    }
}
