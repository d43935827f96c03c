package org.azureshed.preset;

import java.util.Map;
import java.util.Optional;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.RequestClass;
import org.azureshed.model.Route;
import org.azureshed.model.ServicePolicy;

/** The entries of one chunk. */
record PresetPart(
        Optional<PresetHead> head,
        Map<String, ServicePolicy> services,
        Map<String, RequestClass> classes,
        Map<String, Route> routes,
        Map<String, OrganisationLimit> organisations) {}
