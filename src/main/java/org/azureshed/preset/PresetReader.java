package org.azureshed.preset;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.Preset;
import org.azureshed.model.RequestClass;
import org.azureshed.model.Route;
import org.azureshed.model.ServicePolicy;
import org.azureshed.preset.PresetProblem.Kind;

/** Converts the JSON tree of a preset into a {@link Preset} and collects all problems. */
final class PresetReader {
    /** Maximum deadline or queueing time of a request class, in milliseconds: one day. */
    private static final long MAX_MILLIS = 86_400_000;

    private static final int MAX_PRIORITY = 1_000;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final String NAME_FORM =
            "1 to 100 letters, digits, dots, hyphens or underscores that begin with a letter or"
                    + " digit";
    private static final Pattern ORGANISATION = Pattern.compile("[!-~]([ -~]{0,98}[!-~])?");
    private static final String ORGANISATION_FORM =
            "1 to 100 printable ASCII characters without spaces at the ends";
    private static final Pattern TOKEN = Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+");
    private static final Pattern METHOD = Pattern.compile("[A-Z][A-Z-]*");
    private static final Pattern HOST = Pattern.compile("\\*|[A-Za-z0-9]([A-Za-z0-9.-]*)");
    private static final Pattern PATH = Pattern.compile("/[^\\s?#]*");

    private final String file;
    private final List<PresetProblem> problems;

    PresetReader(String file, List<PresetProblem> problems) {
        this.file = file;
        this.problems = problems;
    }

    /** Reads a whole preset; returns empty if the file has problems. */
    Optional<Preset> read(JsonNode root) {
        if (!(root instanceof ObjectNode object)) {
            problems.add(
                    new PresetProblem(
                            Kind.WRONG_TYPE,
                            file,
                            "$",
                            "the file is not a JSON object",
                            "write one JSON object"));
            return Optional.empty();
        }
        JsonFields fields = fields("$", object);
        PresetHead head = head(fields);
        Map<String, ServicePolicy> services = services(fields);
        Map<String, RequestClass> classes = classes(fields);
        List<Route> routes = routes(fields, services.keySet(), classes.keySet());
        Map<String, OrganisationLimit> organisations =
                fields.optional("organisations").isEmpty() ? Map.of() : organisations(fields);
        fields.rejectUnknownFields();
        return problems.isEmpty()
                ? Optional.of(head.preset(services, classes, routes, organisations))
                : Optional.empty();
    }

    /**
     * Reads one chunk of a preset. References between chunks are not checked.
     *
     * @return the entries of the chunk; empty if there are problems
     */
    Optional<PresetPart> readPart(ObjectNode chunk) {
        JsonFields fields = fields("$", chunk);
        PresetPart part =
                new PresetPart(
                        fields.optional("head")
                                .filter(ObjectNode.class::isInstance)
                                .map(node -> head(fields("$.head", (ObjectNode) node))),
                        chunk.has("services") ? services(fields) : Map.of(),
                        chunk.has("classes") ? classes(fields) : Map.of(),
                        chunk.has("routes")
                                ? section(fields, "routes", NAME, NAME_FORM, this::storedRoute)
                                : Map.of(),
                        chunk.has("organisations") ? organisations(fields) : Map.of());
        fields.rejectUnknownFields();
        return problems.isEmpty() ? Optional.of(part) : Optional.empty();
    }

    private PresetHead head(JsonFields fields) {
        String name = fields.text("name", NAME, NAME_FORM);
        String purpose = fields.text("purpose", "what the preset is for");
        String useWhen = fields.text("useWhen", "when to put the preset in force");
        String watch = fields.text("watch", "what to watch while the preset is in force");
        String header =
                fields.text("organisationHeader", TOKEN, "the name of an HTTP request header");
        Optional<OrganisationLimit> defaultLimit =
                fields.required("defaultLimit", "an object", JsonNode::isObject)
                        .map(node -> fields(fields.path("defaultLimit"), (ObjectNode) node))
                        .map(this::limit);
        return new PresetHead(name, purpose, useWhen, watch, header, defaultLimit);
    }

    private Map<String, ServicePolicy> services(JsonFields fields) {
        return section(fields, "services", NAME, NAME_FORM, this::service);
    }

    private Map<String, RequestClass> classes(JsonFields fields) {
        return section(fields, "classes", NAME, NAME_FORM, this::requestClass);
    }

    private Map<String, OrganisationLimit> organisations(JsonFields fields) {
        return section(
                fields,
                "organisations",
                ORGANISATION,
                ORGANISATION_FORM,
                (organisation, limit) -> limit(limit));
    }

    private Route storedRoute(String id, JsonFields fields) {
        return route(fields, Optional.empty(), Optional.empty());
    }

    private JsonFields fields(String path, ObjectNode object) {
        return new JsonFields(file, path, object, problems);
    }

    /** Reads one value of a section from its name and fields. */
    private interface EntryReader<T> {
        T read(String name, JsonFields fields);
    }

    private <T> Map<String, T> section(
            JsonFields parent, String section, Pattern name, String form, EntryReader<T> reader) {
        Map<String, T> result = new LinkedHashMap<>();
        Optional<JsonNode> node = parent.required(section, "an object", JsonNode::isObject);
        for (var entry : node.map(JsonNode::properties).orElse(Set.of())) {
            String path = JsonFields.childPath(parent.path(section), entry.getKey());
            parent.checkForm(path, entry.getKey(), name, form);
            if (parent.checkType(path, entry.getValue(), "an object", JsonNode::isObject)) {
                JsonFields fields = fields(path, (ObjectNode) entry.getValue());
                // An invalid entry stays defined; otherwise references to it would be reported too.
                result.put(entry.getKey(), reader.read(entry.getKey(), fields));
            }
        }
        return result;
    }

    private ServicePolicy service(String name, JsonFields fields) {
        int floor = fields.percent("floorPercent", 0);
        int longLane = fields.percent("longLanePercent", 1);
        int retry = fields.percent("retryPercent", 0);
        fields.rejectUnknownFields();
        return new ServicePolicy(placeholder(name), floor, longLane, retry);
    }

    private RequestClass requestClass(String name, JsonFields fields) {
        boolean longRunning = fields.flag("longRunning");
        boolean idempotent = fields.flag("idempotent");
        long deadline = fields.integer("deadlineMillis", 1, MAX_MILLIS);
        long queue = fields.integer("queueMillis", 0, MAX_MILLIS);
        int priority = (int) fields.integer("priority", -MAX_PRIORITY, MAX_PRIORITY);
        fields.rejectUnknownFields();
        return new RequestClass(
                placeholder(name), longRunning, idempotent, deadline, queue, priority);
    }

    private OrganisationLimit limit(JsonFields fields) {
        int rate = (int) fields.integer("requestsPerSecond", 1, Integer.MAX_VALUE);
        int concurrent = (int) fields.integer("concurrent", 1, Integer.MAX_VALUE);
        fields.rejectUnknownFields();
        return new OrganisationLimit(rate, concurrent);
    }

    /** The model refuses blank names; a blank one is already reported at this point. */
    private static String placeholder(String name) {
        return name.isBlank() ? "?" : name;
    }

    private List<Route> routes(JsonFields parent, Set<String> services, Set<String> classes) {
        List<Route> routes = new ArrayList<>();
        Map<String, String> ids = new HashMap<>();
        Map<String, String> matches = new HashMap<>();
        Optional<JsonNode> array = parent.required("routes", "an array", JsonNode::isArray);
        int index = 0;
        for (JsonNode node : array.map(value -> (Iterable<JsonNode>) value).orElse(List.of())) {
            String path = parent.path("routes") + "[" + index++ + "]";
            if (parent.checkType(path, node, "an object", JsonNode::isObject)) {
                JsonFields fields = fields(path, (ObjectNode) node);
                int before = problems.size();
                Route route = route(fields, Optional.of(services), Optional.of(classes));
                if (problems.size() == before) {
                    checkUnique(fields, route, path, ids, matches);
                    routes.add(route);
                }
            }
        }
        return routes;
    }

    /** Reads a route; references are checked against the defined names if they are given. */
    private Route route(
            JsonFields fields, Optional<Set<String>> services, Optional<Set<String>> classes) {
        String id = fields.text("id", NAME, NAME_FORM);
        String host = fields.text("host", HOST, "a host name without port, or * for all");
        String path = fields.text("path", PATH, "a path that begins with / and has no ? or #");
        Set<String> methods = methods(fields);
        String service = reference(fields, "service", "services", services);
        String requestClass = reference(fields, "requestClass", "classes", classes);
        fields.rejectUnknownFields();
        // Interned to save memory: thousands of routes share these texts.
        return new Route(
                placeholder(id),
                host.intern(),
                path.startsWith("/") ? path : "/",
                methods,
                service.intern(),
                requestClass.intern());
    }

    private static Set<String> methods(JsonFields fields) {
        Set<String> methods = new HashSet<>();
        String type = "an array of HTTP methods; an empty one matches all";
        Optional<JsonNode> array =
                fields.optional("methods")
                        .filter(
                                node ->
                                        fields.checkType(
                                                fields.path("methods"),
                                                node,
                                                type,
                                                JsonNode::isArray));
        int index = 0;
        for (JsonNode method : array.map(value -> (Iterable<JsonNode>) value).orElse(List.of())) {
            String methodPath = fields.path("methods") + "[" + index++ + "]";
            if (fields.checkType(methodPath, method, "an HTTP method", JsonNode::isTextual)) {
                String name = method.textValue();
                fields.checkForm(methodPath, name, METHOD, "an HTTP method in capital letters");
                if (!methods.add(name)) {
                    String detail = "method " + name + " appears twice";
                    fields.problem(Kind.DUPLICATE, methodPath, detail, "remove one");
                }
            }
        }
        return methods;
    }

    private static String reference(
            JsonFields fields, String field, String section, Optional<Set<String>> defined) {
        String name = fields.text(field, "a name under \"" + section + "\"");
        if (!name.isBlank() && defined.isPresent() && !defined.get().contains(name)) {
            fields.problem(
                    Kind.MISSING_REFERENCE,
                    fields.path(field),
                    "\"" + name + "\" is not defined",
                    "define it under \"" + section + "\" or correct the name");
        }
        return name;
    }

    private static void checkUnique(
            JsonFields fields,
            Route route,
            String path,
            Map<String, String> ids,
            Map<String, String> matches) {
        String first = ids.putIfAbsent(route.id(), path);
        if (first != null) {
            fields.problem(
                    Kind.DUPLICATE,
                    fields.path("id"),
                    "id \"" + route.id() + "\" is also used by " + first,
                    "give each route its own id");
        }
        Set<String> methods = route.methods().isEmpty() ? Set.of("*") : route.methods();
        for (String method : methods) {
            String match = method + " " + host(route) + route.path().replaceAll("/+$", "");
            String other = matches.putIfAbsent(match, path);
            if (other != null) {
                fields.problem(
                        Kind.DUPLICATE,
                        path,
                        "method " + method + " of this host and path is also matched by " + other,
                        "change the host, path or methods of one of them");
            }
        }
    }

    private static String host(Route route) {
        return route.host().toLowerCase(Locale.ROOT);
    }
}
