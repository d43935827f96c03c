package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import java.util.Optional;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.Snapshot;
import org.azureshed.model.Outcome;
import org.azureshed.model.Preset;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.Route;
import org.azureshed.telemetry.FleetMetrics;
import org.azureshed.telemetry.FleetMetrics.Side;

/** Entry side: checks a caller's request, routes it and answers. */
@Singleton
final class EntryHandler {
    private static final long MAX_BODY_BYTES = 8L << 30;

    private final ControlLoop control;
    private final Dispatcher dispatcher;
    private final FleetMetrics metrics;
    private final RequestGuard guard = new RequestGuard(MAX_BODY_BYTES);

    @Inject
    EntryHandler(ControlLoop control, Dispatcher dispatcher, FleetMetrics metrics) {
        this.control = control;
        this.dispatcher = dispatcher;
        this.metrics = metrics;
    }

    void handle(HttpServletRequest request, HttpServletResponse response) throws IOException {
        long start = System.nanoTime();
        Optional<RefusalReason> refusal = guard.check(request);
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
        String organisation = request.getHeader(preset.organisationHeader());
        RequestBody body = RequestBody.read(request, guard.maxBodyBytes());
        Call call =
                new Call(
                        request,
                        response,
                        snapshot,
                        route,
                        preset.classes().get(route.requestClass()),
                        organisation == null ? "" : organisation,
                        body,
                        start);
        answer(call, dispatcher.dispatch(call));
    }

    private void answer(Call call, Outcome outcome) throws IOException {
        switch (outcome) {
            case Outcome.Completed(int status) -> metrics.completed(Side.ENTRY, status);
            case Outcome.NotRun(RefusalReason reason) -> refuse(call.response(), reason);
            case Outcome.Unknown unknown -> {
                metrics.unknown(Side.ENTRY, unknown.cause());
                AnswerWriter.unknown(call.response(), unknown);
            }
        }
    }

    private void refuse(HttpServletResponse response, RefusalReason reason) throws IOException {
        metrics.refused(Side.ENTRY, reason);
        AnswerWriter.refuse(response, reason, 0);
    }
}
