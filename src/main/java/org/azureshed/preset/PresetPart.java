package org.azureshed.preset;

import java.util.Map;
import java.util.Optional;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.RequestClass;
import org.azureshed.model.Route;
import org.azureshed.model.ServicePolicy;

/** The parsed entries of one chunk, by name or id; sections that the chunk lacks are empty. */
record PresetPart(
        Optional<PresetHead> head,
        Map<String, ServicePolicy> services,
        Map<String, RequestClass> classes,
        Map<String, Route> routes,
        Map<String, OrganisationLimit> organisations) {}
