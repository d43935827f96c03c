package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.Optional;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.Snapshot;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.Outcome;
import org.azureshed.model.Preset;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.Route;
import org.azureshed.routing.OrganisationLimiter;
import org.azureshed.telemetry.FleetMetrics;
import org.azureshed.telemetry.FleetMetrics.Side;

/** Entry side: validates, routes and answers callers' requests. */
@Singleton
final class EntryHandler {
    private static final long MAX_BODY_BYTES = 8L << 30;

    /** Each request needs about 50 KB of buffers, and a node has 256 MB of memory in total. */
    private static final int MAX_REQUESTS = 1_000;

    private final ControlLoop control;
    private final Dispatcher dispatcher;
    private final KeyedRequests keyed;
    private final ActiveRequests active;
    private final FleetMetrics metrics;
    private final OrganisationLimiter organisations = new OrganisationLimiter();
    private final RequestGuard guard = new RequestGuard(MAX_BODY_BYTES);

    @Inject
    EntryHandler(
            ControlLoop control,
            Dispatcher dispatcher,
            KeyedRequests keyed,
            ActiveRequests active,
            FleetMetrics metrics) {
        this.keyed = keyed;
        this.active = active;
        this.control = control;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    void handle(HttpServletRequest request, HttpServletResponse response) throws IOException {
        long start = System.nanoTime();
        Optional<RefusalReason> refusal =
                active.count() > MAX_REQUESTS
                        ? Optional.of(RefusalReason.NODE_OVERLOADED)
                        : guard.check(request);
        if (refusal.isPresent()) {
            refuse(response, refusal.get());
            return;
        }
        Snapshot snapshot = control.snapshot();
        if (snapshot.active().isEmpty()) {
            refuse(response, RefusalReason.NO_PRESET);
            return;
        }
        Optional<Route> route =
                snapshot.routes()
                        .find(
                                request.getServerName(),
                                request.getRequestURI(),
                                request.getMethod());
        if (route.isEmpty()) {
            refuse(response, RefusalReason.NO_ROUTE);
            return;
        }
        run(request, response, snapshot, route.get(), start);
        metrics.observeDuration(Side.ENTRY, System.nanoTime() - start);
    }

    private void run(
            HttpServletRequest request,
            HttpServletResponse response,
            Snapshot snapshot,
            Route route,
            long start)
            throws IOException {
        Preset preset = snapshot.active().orElseThrow().preset();
        String header = request.getHeader(preset.organisationHeader());
        String organisation = header == null ? "" : header;
        OrganisationLimit limit =
                preset.organisations().getOrDefault(organisation, preset.defaultLimit());
        Optional<RefusalReason> refusal =
                organisations.tryAcquire(organisation, limit, System.nanoTime());
        if (refusal.isPresent()) {
            refuse(response, refusal.get());
            return;
        }
        try {
            dispatch(request, response, snapshot, route, organisation, start);
        } finally {
            organisations.release(organisation);
        }
    }

    private void dispatch(
            HttpServletRequest request,
            HttpServletResponse response,
            Snapshot snapshot,
            Route route,
            String organisation,
            long start)
            throws IOException {
        Preset preset = snapshot.active().orElseThrow().preset();
        RequestBody body = RequestBody.read(request, guard.maxBodyBytes());
        Call call =
                new Call(
                        request,
                        response,
                        snapshot,
                        route,
                        preset.classes().get(route.requestClass()),
                        organisation,
                        body,
                        start,
                        Optional.empty(),
                        Optional.empty());
        Outcome outcome =
                KeyedRequests.isKeyed(request) ? keyed.dispatch(call) : dispatcher.dispatch(call);
        answer(call, outcome);
    }

    private void answer(Call call, Outcome outcome) throws IOException {
        switch (outcome) {
            case Outcome.Completed(int status) -> metrics.completed(Side.ENTRY, status);
            case Outcome.NotRun(RefusalReason reason) -> refuse(call.response(), reason);
            case Outcome.Unknown unknown -> {
                metrics.unknown(Side.ENTRY, unknown.cause());
                AnswerWriter.writeUnknown(call.response(), unknown);
            }
        }
    }

    private void refuse(HttpServletResponse response, RefusalReason reason) throws IOException {
        metrics.refused(Side.ENTRY, reason);
        AnswerWriter.writeRefusal(response, reason, 0);
    }
}
