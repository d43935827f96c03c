package org.azureshed.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.Preset;
import org.azureshed.model.RequestClass;
import org.azureshed.model.Route;
import org.azureshed.model.ServicePolicy;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.model.TargetState;

/**
 * Generates the node records and the preset of a fleet of a given size.
 *
 * @param nodes number of nodes in 10 availability zones
 * @param instances number of targets, spread evenly over the nodes and 500 services
 * @param routes number of routes in the preset
 * @param organisations number of organisations in the preset
 */
public record SyntheticFleet(int nodes, int instances, int routes, int organisations) {
    private static final int ZONES = 10;
    static final int SERVICES = 500;
    private static final int SLOTS_PER_TARGET = 4;

    /** Incarnation of the first node: a start time in milliseconds since the epoch. */
    private static final long BASE_INCARNATION = 1_796_000_000_000L;

    private static final String HOST_NAME = "www.archive.example";

    NodeInfo node(int index) {
        String vm = "10." + index / 65_536 + "." + index / 256 % 256 + "." + index % 256;
        List<TargetInfo> targets = new ArrayList<>();
        int first = (int) ((long) instances * index / nodes);
        int endExclusive = (int) ((long) instances * (index + 1) / nodes);
        for (int i = first; i < endExclusive; i++) {
            String service = "service-" + i % SERVICES;
            targets.add(
                    new TargetInfo(
                            new TargetId(service + "." + i),
                            service,
                            new Endpoint(vm, 8_100 + i - first),
                            SLOTS_PER_TARGET,
                            TargetState.READY));
        }
        int zone = index % ZONES;
        return new NodeInfo(
                new NodeId("node-" + index),
                "region-" + zone / 3,
                "zone-" + zone,
                new Endpoint(vm, 8_001),
                new Endpoint(vm, 8_002),
                new Endpoint(vm, 8_003),
                BASE_INCARNATION + index,
                1,
                false,
                targets);
    }

    /** Records of all nodes except the first one, which is the node under test. */
    List<NodeInfo> otherNodes() {
        List<NodeInfo> others = new ArrayList<>();
        for (int i = 1; i < nodes; i++) {
            others.add(node(i));
        }
        return others;
    }

    /**
     * Creates the preset; for an edit number above 0, the route of that number has another path.
     */
    Preset preset(int editNumber) {
        Map<String, ServicePolicy> services = new HashMap<>();
        for (int i = 0; i < SERVICES; i++) {
            services.put("service-" + i, new ServicePolicy("service-" + i, 60, 50, 10));
        }
        List<Route> allRoutes = new ArrayList<>();
        for (int i = 0; i < routes; i++) {
            boolean edited = editNumber > 0 && i == editNumber;
            allRoutes.add(route(i, edited ? "/moved-" + editNumber : routePath(i)));
        }
        Map<String, OrganisationLimit> organisationLimits = new HashMap<>();
        for (int i = 0; i < organisations; i++) {
            organisationLimits.put("organisation-" + i, new OrganisationLimit(50 + i % 9, 20));
        }
        return new Preset(
                "full",
                "ordinary days",
                "on ordinary days",
                "refusals by reason",
                "X-Organisation",
                services,
                Map.of("page", new RequestClass("page", false, true, 2_000, 200, 0)),
                allRoutes,
                organisationLimits,
                new OrganisationLimit(10, 5));
    }

    String routePath(int route) {
        return "/area-" + route % 100 + "/collection-" + route;
    }

    String hostName() {
        return HOST_NAME;
    }

    private static Route route(int number, String path) {
        return new Route(
                "route-" + number,
                HOST_NAME,
                path,
                Set.of("GET", "POST"),
                "service-" + number % SERVICES,
                "page");
    }
}
