package org.azureshed.preset;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.Preset;
import org.azureshed.model.RequestClass;
import org.azureshed.model.Route;
import org.azureshed.model.ServicePolicy;

/**
 * The fields of a preset other than its collections of services, classes, routes and organisations.
 *
 * @param defaultLimit empty only if the field is invalid
 */
record PresetHead(
        String name,
        String purpose,
        String useWhen,
        String watch,
        String organisationHeader,
        Optional<OrganisationLimit> defaultLimit) {
    Preset preset(
            Map<String, ServicePolicy> services,
            Map<String, RequestClass> classes,
            List<Route> routes,
            Map<String, OrganisationLimit> organisations) {
        return new Preset(
                name,
                purpose,
                useWhen,
                watch,
                organisationHeader,
                services,
                classes,
                routes,
                organisations,
                defaultLimit.orElseThrow());
    }
}
