package org.azureshed.preset;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.Preset;
import org.azureshed.model.RequestClass;
import org.azureshed.model.Route;
import org.azureshed.model.ServicePolicy;

/**
 * Reads and writes preset files.
 *
 * <pre>{@code
 * Either<PresetError, Preset> preset = PresetCodec.decode("peak.json", bytes);
 * byte[] file = PresetCodec.encode(preset.get());
 * }</pre>
 */
public final class PresetCodec {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private PresetCodec() {}

    /**
     * Reads a preset file.
     *
     * @param file name of the file, for errors
     * @param content the file
     * @return the preset, or {@link PresetError.Invalid} with all problems
     */
    public static Either<PresetError, Preset> decode(String file, byte[] content) {
        List<PresetProblem> problems = new ArrayList<>();
        Optional<JsonNode> tree = StrictJson.parse(file, content, problems);
        return result(
                file, tree.flatMap(root -> new PresetReader(file, problems).read(root)), problems);
    }

    private static Either<PresetError, Preset> result(
            String file, Optional<Preset> preset, List<PresetProblem> problems) {
        return preset.<Either<PresetError, Preset>>map(Either::right)
                .orElseGet(() -> Either.left(new PresetError.Invalid(file, problems)));
    }

    /**
     * Writes a preset file. Names and ids are sorted, so equal presets give equal files.
     *
     * @param preset the preset
     * @return indented JSON in UTF-8
     */
    public static byte[] encode(Preset preset) {
        try {
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsBytes(tree(preset));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree cannot be written", e);
        }
    }

    /** Converts a preset to a JSON tree with sorted names and ids. */
    static ObjectNode tree(Preset preset) {
        ObjectNode tree = NODES.objectNode();
        tree.put("name", preset.name())
                .put("purpose", preset.purpose())
                .put("useWhen", preset.useWhen())
                .put("watch", preset.watch())
                .put("organisationHeader", preset.organisationHeader());
        ObjectNode services = tree.putObject("services");
        new TreeMap<>(preset.services()).forEach((name, s) -> services.set(name, service(s)));
        ObjectNode classes = tree.putObject("classes");
        new TreeMap<>(preset.classes()).forEach((name, c) -> classes.set(name, requestClass(c)));
        ArrayNode routes = tree.putArray("routes");
        preset.routes().stream()
                .sorted(Comparator.comparing(Route::id))
                .forEach(route -> routes.add(route(route)));
        ObjectNode organisations = tree.putObject("organisations");
        new TreeMap<>(preset.organisations())
                .forEach((name, limit) -> organisations.set(name, limit(limit)));
        tree.set("defaultLimit", limit(preset.defaultLimit()));
        return tree;
    }

    private static ObjectNode service(ServicePolicy policy) {
        return NODES.objectNode()
                .put("floorPercent", policy.floorPercent())
                .put("longLanePercent", policy.longLanePercent())
                .put("retryPercent", policy.retryPercent());
    }

    private static ObjectNode requestClass(RequestClass requestClass) {
        return NODES.objectNode()
                .put("longRunning", requestClass.longRunning())
                .put("idempotent", requestClass.idempotent())
                .put("deadlineMillis", requestClass.deadlineMillis())
                .put("queueMillis", requestClass.queueMillis())
                .put("priority", requestClass.priority());
    }

    private static ObjectNode route(Route route) {
        ObjectNode node =
                NODES.objectNode()
                        .put("id", route.id())
                        .put("host", route.host())
                        .put("path", route.path());
        ArrayNode methods = node.putArray("methods");
        new TreeSet<>(route.methods()).forEach(methods::add);
        return node.put("service", route.service()).put("requestClass", route.requestClass());
    }

    private static ObjectNode limit(OrganisationLimit limit) {
        return NODES.objectNode()
                .put("requestsPerSecond", limit.requestsPerSecond())
                .put("concurrent", limit.concurrent());
    }
}
