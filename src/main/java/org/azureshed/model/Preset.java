package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A named configuration that an operator can activate: routes, services, request classes and
 * limits.
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
 * @param purpose description of its purpose, written by the operator
 * @param useWhen description of when to activate it, written by the operator
 * @param watch description of what to monitor while it is active, written by the operator
 * @param organisationHeader name of the request header that identifies the organisation
 * @param services policies by service name
 * @param classes request classes by name
 * @param routes routes from requests to services
 * @param organisations limits by organisation name
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
     * Creates a builder for a preset.
     *
     * @param name name of the preset
     * @return a builder without services, classes and routes
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
         * Sets the description of the preset's purpose.
         *
         * @param text free text
         * @return this builder
         */
        public Builder purpose(String text) {
            purpose = text;
            return this;
        }

        /**
         * Sets the description of when to activate the preset.
         *
         * @param text free text
         * @return this builder
         */
        public Builder useWhen(String text) {
            useWhen = text;
            return this;
        }

        /**
         * Sets the description of what to monitor while the preset is active.
         *
         * @param text free text
         * @return this builder
         */
        public Builder watch(String text) {
            watch = text;
            return this;
        }

        /**
         * Sets the request header that identifies the organisation.
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
         * @param policy policy of the service
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
         * Sets the limits of an organisation, replacing earlier ones.
         *
         * @param organisation name of the organisation
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
         * @throws IllegalArgumentException if a route refers to a service or class that is not
         *     defined
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
