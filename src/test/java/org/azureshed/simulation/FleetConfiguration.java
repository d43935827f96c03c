package org.azureshed.simulation;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.azureshed.platform.standin.ProtocolRequests;
import org.azureshed.platform.standin.ProtocolRequests.RouteSpec;

/** The configuration of each version, and what it allows. */
final class FleetConfiguration {
    static final String SHOP = "shop";
    static final String KIOSK = "kiosk";

    /** Routes of this many versions, up to the newest one, are kept. */
    private static final int KEPT_VERSIONS = 2;

    private static final List<String> PREFIXES =
            List.of("/read/", "/write/", "/short/", "/slow/", "/kiosk/", "/move/");

    private static final long SHORT_TIMEOUT_MILLIS = 700;
    private static final long SLOW_TIMEOUT_MILLIS = 6_000;
    private static final long TIMEOUT_MILLIS = 3_000;

    private FleetConfiguration() {}

    /** Timeout of the route with a prefix, in milliseconds. */
    static long timeoutMillis(String prefix) {
        return switch (prefix) {
            case "/short/" -> SHORT_TIMEOUT_MILLIS;
            case "/slow/" -> SLOW_TIMEOUT_MILLIS;
            default -> TIMEOUT_MILLIS;
        };
    }

    /** Service of the target beside a node. */
    static String service(int node) {
        return node < 2 ? SHOP : KIOSK;
    }

    static String other(String service) {
        return service.equals(SHOP) ? KIOSK : SHOP;
    }

    /** Content that the operator stores for a version. */
    static ObjectNode of(long version) {
        List<RouteSpec> routes = new ArrayList<>();
        for (String prefix : PREFIXES) {
            routes.add(route(prefix, version));
        }
        for (long kept = Math.max(1, version - KEPT_VERSIONS + 1); kept <= version; kept++) {
            routes.add(route("/v" + kept + '/', version));
        }
        return ProtocolRequests.configuration(version, routes);
    }

    private static RouteSpec route(String prefix, long version) {
        boolean repeatable = prefix.equals("/read/") || prefix.matches("/(v\\d+|move)/");
        return new RouteSpec(
                prefix,
                repeatable ? "idempotent" : "non_idempotent",
                service(prefix, version).orElseThrow(),
                timeoutMillis(prefix));
    }

    /** Service to which a version sends requests with a prefix; empty if it has no such route. */
    static Optional<String> service(String prefix, long version) {
        if (prefix.matches("/v\\d+/")) {
            long number = Long.parseLong(prefix.substring(2, prefix.length() - 1));
            boolean kept = number <= version && number > version - KEPT_VERSIONS;
            return kept ? Optional.of(SHOP) : Optional.empty();
        }
        if (prefix.equals("/move/")) {
            return Optional.of(version % 2 == 0 ? SHOP : KIOSK);
        }
        return Optional.of(prefix.equals("/kiosk/") ? KIOSK : SHOP);
    }
}
