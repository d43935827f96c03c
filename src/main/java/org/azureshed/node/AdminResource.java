package org.azureshed.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.DELETE;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.PathParam;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.Set;
import org.azureshed.admission.Admission;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.Snapshot;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.poison.CrashWatch;
import org.azureshed.routing.Candidate;
import org.azureshed.routing.PathHealth;
import org.azureshed.telemetry.EventLog;

/** Admin API: announcements of targets and the status of the node. */
@Singleton
@Path("/")
@Produces(MediaType.APPLICATION_JSON)
public final class AdminResource {
    private static final int BAD_REQUEST = 400;

    private final ControlLoop control;
    private final CrashWatch crashes;
    private final PathHealth paths;
    private final Admission admission;
    private final ObjectMapper mapper = new ObjectMapper();

    @Inject
    AdminResource(ControlLoop control, CrashWatch crashes, PathHealth paths, Admission admission) {
        this.paths = paths;
        this.admission = admission;
        this.control = control;
        this.crashes = crashes;
    }

    /**
     * Accepts the announcement of a target on this VM. A target repeats it at least every second.
     *
     * @param body JSON with id, service, address, slots and state
     * @return status 204, or 400 with a message if the announcement is malformed
     */
    @POST
    @Path("/targets")
    @Consumes(MediaType.APPLICATION_JSON)
    public Response announce(String body) {
        try {
            TargetInfo target = mapper.readValue(body, TargetAnnouncement.class).toTarget();
            control.submit(new ControlEvent.TargetAnnounced(target));
            return Response.noContent().build();
        } catch (com.fasterxml.jackson.core.JsonProcessingException | IllegalArgumentException e) {
            String message = e.getMessage().lines().findFirst().orElse("malformed");
            EventLog.warning("announcement_refused").with("error", message).write();
            String json = mapper.createObjectNode().put("message", message).toString();
            return Response.status(BAD_REQUEST).entity(json).build();
        }
    }

    /**
     * Withdraws a target that stops in an orderly way.
     *
     * @param id id of the target
     * @return status 204, also for an unknown target
     */
    @DELETE
    @Path("/targets/{id}")
    public Response withdraw(@PathParam("id") String id) {
        // An orderly stop is not a crash: the requests still running there are not suspect.
        crashes.withdrawn(new TargetId(id));
        control.submit(new ControlEvent.TargetWithdrawn(new TargetId(id)));
        return Response.noContent().build();
    }

    /**
     * Returns the state of the fleet in the view of this node.
     *
     * @return JSON with the node, the preset in force, the nodes that its entry side avoids, the
     *     load of its own targets, and the targets of each service with weight and path
     */
    @GET
    @Path("/status")
    public String status() {
        Snapshot snapshot = control.snapshot();
        ObjectNode root = mapper.createObjectNode();
        root.put("node", snapshot.self().id().value());
        root.put("region", snapshot.self().region());
        root.put("availabilityZone", snapshot.self().availabilityZone());
        root.put("draining", snapshot.self().draining());
        snapshot.active()
                .ifPresent(
                        active -> {
                            root.put("activationNumber", active.number());
                            root.put("preset", active.preset().name());
                            root.put("purpose", active.preset().purpose());
                            root.put("watch", active.preset().watch());
                        });
        root.put("knownNodes", snapshot.nodeCount());
        ArrayNode badPaths = root.putArray("badPaths");
        Set<NodeId> bad = paths.badPaths();
        bad.stream().sorted().forEach(id -> badPaths.add(id.value()));
        ArrayNode hosted = root.putArray("hosted");
        snapshot.self().targets().forEach(target -> addHosted(hosted, target));
        ObjectNode services = root.putObject("services");
        snapshot.candidates()
                .forEach(
                        (service, candidates) -> {
                            ArrayNode list = services.putArray(service);
                            for (Candidate candidate : candidates) {
                                addTarget(list, candidate)
                                        .put(
                                                "weightPercent",
                                                snapshot.weightPercent(candidate.target().id()))
                                        .put(
                                                "path",
                                                bad.contains(candidate.node().id())
                                                        ? "bad"
                                                        : "good");
                            }
                        });
        return root.toPrettyString() + "\n";
    }

    private void addHosted(ArrayNode list, TargetInfo target) {
        ObjectNode entry = list.addObject();
        entry.put("target", target.id().value());
        entry.put("service", target.service());
        admission
                .report(target.id(), System.nanoTime())
                .ifPresent(
                        report ->
                                entry.put("slots", report.slots())
                                        .put("inFlight", report.inFlight())
                                        .put("queued", report.queued())
                                        .put("medianServiceMicros", report.medianServiceMicros())
                                        .put("errorShare", report.errorShare()));
    }

    private static ObjectNode addTarget(ArrayNode list, Candidate candidate) {
        return list.addObject()
                .put("target", candidate.target().id().value())
                .put("node", candidate.node().id().value())
                .put("slots", candidate.target().slots())
                .put("state", candidate.target().state().name().toLowerCase(java.util.Locale.ROOT));
    }
}
