package org.azureshed.preset;

import java.util.Set;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.Preset;
import org.azureshed.model.RequestClass;
import org.azureshed.model.Route;
import org.azureshed.model.ServicePolicy;

/** Presets for tests. */
final class TestPresets {
    /** A file that has no problems. */
    static final String VALID =
            """
            {"name": "peak", "purpose": "festival days", "useWhen": "before the opening",
             "watch": "refusals by reason", "organisationHeader": "X-Organisation",
             "services": {"reading":
               {"floorPercent": 60, "longLanePercent": 50, "retryPercent": 10}},
             "classes": {"page": {"longRunning": false, "idempotent": true,
               "deadlineMillis": 2000, "queueMillis": 200, "priority": 0}},
             "routes": [{"id": "pages", "host": "*", "path": "/chapters", "methods": ["GET"],
               "service": "reading", "requestClass": "page"}],
             "organisations": {"readers": {"requestsPerSecond": 50, "concurrent": 20}},
             "defaultLimit": {"requestsPerSecond": 10, "concurrent": 5}}
            """;

    private TestPresets() {}

    static Preset small(String name, String purpose) {
        return preset(name, purpose, 1, 1).build();
    }

    static Preset.Builder preset(String name, String purpose, int routes, int organisations) {
        Preset.Builder preset =
                Preset.builder(name)
                        .purpose(purpose)
                        .useWhen("on ordinary days")
                        .watch("refusals by reason")
                        .requestClass(new RequestClass("page", false, true, 2000, 200, 0));
        for (int i = 0; i < Math.min(routes, 500); i++) {
            preset.service(new ServicePolicy("service-" + i, 60, 50, 10));
        }
        for (int i = 0; i < routes; i++) {
            preset.route(route(i, "/area-" + i % 100 + "/collection-" + i));
        }
        for (int i = 0; i < organisations; i++) {
            preset.organisation("organisation-" + i, new OrganisationLimit(50 + i % 9, 20));
        }
        return preset;
    }

    static Route route(int number, String path) {
        return new Route(
                "route-" + number,
                "www.archive.example",
                path,
                Set.of("GET", "POST"),
                "service-" + number % 500,
                "page");
    }
}
