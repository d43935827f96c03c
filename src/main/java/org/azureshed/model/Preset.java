package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Everything an operator decides, under one name.
 *
 * <pre>{@code
 * Preset preset = Preset.builder("ordinary")
 *         .purpose("ordinary days")
 *         .service(new ServicePolicy("reading", 60, 50, 10))
 *         .requestClass(new RequestClass("page", false, true, 2000, 200, 0))
 *         .route(new Route("pages", "*", "/chapters", Set.of("GET"), "reading", "page"))
 *         .build();
 * }</pre>
 *
 * @param name name of the preset
 * @param purpose what it is for, in the operator's words
 * @param useWhen when to put it in force, in the operator's words
 * @param watch what to watch while it is in force, in the operator's words
 * @param organisationHeader request header that names the organisation
 * @param services policies by service
 * @param classes request classes by name
 * @param routes all routes
 * @param organisations limits by organisation
 * @param defaultLimit limit of organisations that have none of their own
 */
public record Preset(
        String name,
        String purpose,
        String useWhen,
        String watch,
        String organisationHeader,
        Map<String, ServicePolicy> services,
        Map<String, RequestClass> classes,
        List<Route> routes,
        Map<String, OrganisationLimit> organisations,
        OrganisationLimit defaultLimit) {
    private static final OrganisationLimit DEFAULT_LIMIT = new OrganisationLimit(1_000, 1_000);

    /** Copies the collections. */
    public Preset {
        checkArgument(!name.isBlank(), "the preset has an empty name");
        services = Map.copyOf(services);
        classes = Map.copyOf(classes);
        routes = List.copyOf(routes);
        organisations = Map.copyOf(organisations);
    }

    /**
     * Starts a preset.
     *
     * @param name name of the preset
     * @return a builder with no routes
     */
    public static Builder builder(String name) {
        return new Builder(name);
    }

    /** Collects the parts of a preset. */
    public static final class Builder {
        private final String name;
        private String purpose = "";
        private String useWhen = "";
        private String watch = "";
        private String organisationHeader = "X-Organisation";
        private final Map<String, ServicePolicy> services = new LinkedHashMap<>();
        private final Map<String, RequestClass> classes = new LinkedHashMap<>();
        private final Map<String, Route> routes = new LinkedHashMap<>();
        private final Map<String, OrganisationLimit> organisations = new LinkedHashMap<>();
        private OrganisationLimit defaultLimit = DEFAULT_LIMIT;

        private Builder(String name) {
            this.name = name;
        }

        /**
         * Sets what the preset is for.
         *
         * @param text the operator's words
         * @return this builder
         */
        public Builder purpose(String text) {
            purpose = text;
            return this;
        }

        /**
         * Sets when to put the preset in force.
         *
         * @param text the operator's words
         * @return this builder
         */
        public Builder useWhen(String text) {
            useWhen = text;
            return this;
        }

        /**
         * Sets what to watch while the preset is in force.
         *
         * @param text the operator's words
         * @return this builder
         */
        public Builder watch(String text) {
            watch = text;
            return this;
        }

        /**
         * Sets the request header that names the organisation.
         *
         * @param header header name
         * @return this builder
         */
        public Builder organisationHeader(String header) {
            organisationHeader = header;
            return this;
        }

        /**
         * Adds a service.
         *
         * @param policy its policy
         * @return this builder
         * @throws IllegalArgumentException if the service was added before
         */
        public Builder service(ServicePolicy policy) {
            checkArgument(
                    services.put(policy.name(), policy) == null,
                    "service %s is defined twice",
                    policy.name());
            return this;
        }

        /**
         * Adds a request class.
         *
         * @param requestClass the class
         * @return this builder
         * @throws IllegalArgumentException if the class was added before
         */
        public Builder requestClass(RequestClass requestClass) {
            checkArgument(
                    classes.put(requestClass.name(), requestClass) == null,
                    "class %s is defined twice",
                    requestClass.name());
            return this;
        }

        /**
         * Adds a route.
         *
         * @param route the route
         * @return this builder
         * @throws IllegalArgumentException if a route of the same id was added before
         */
        public Builder route(Route route) {
            checkArgument(
                    routes.put(route.id(), route) == null, "route %s is defined twice", route.id());
            return this;
        }

        /**
         * Adds limits of an organisation.
         *
         * @param organisation the organisation
         * @param limit its limits
         * @return this builder
         */
        public Builder organisation(String organisation, OrganisationLimit limit) {
            organisations.put(organisation, limit);
            return this;
        }

        /**
         * Sets the limits of organisations that have none of their own.
         *
         * @param limit the limits
         * @return this builder
         */
        public Builder defaultLimit(OrganisationLimit limit) {
            defaultLimit = limit;
            return this;
        }

        /**
         * Builds the preset and checks its references.
         *
         * @return the preset
         * @throws IllegalArgumentException if a route names a service or class that is not defined
         */
        public Preset build() {
            for (Route route : routes.values()) {
                checkArgument(
                        services.containsKey(route.service()),
                        "route %s names service %s, which the preset does not define; add it under"
                                + " \"services\"",
                        route.id(),
                        route.service());
                checkArgument(
                        classes.containsKey(route.requestClass()),
                        "route %s names class %s, which the preset does not define; add it under"
                                + " \"classes\"",
                        route.id(),
                        route.requestClass());
            }
            return new Preset(
                    name,
                    purpose,
                    useWhen,
                    watch,
                    organisationHeader,
                    services,
                    classes,
                    List.copyOf(routes.values()),
                    organisations,
                    defaultLimit);
        }
    }
}
