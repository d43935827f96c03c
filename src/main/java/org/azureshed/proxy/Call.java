package org.azureshed.proxy;

import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.time.Duration;
import java.util.Optional;
import org.azureshed.control.Snapshot;
import org.azureshed.idempotency.Permit;
import org.azureshed.model.RequestClass;
import org.azureshed.model.Route;

/**
 * A caller's request while the entry side handles it.
 *
 * @param request the request
 * @param response response to the caller
 * @param snapshot control state used to route it
 * @param route its route
 * @param requestClass its class
 * @param organisation organisation that sent it; empty if the caller named none
 * @param body its body
 * @param startNanos arrival time on the {@link System#nanoTime} clock
 * @param permit right to start the work of a keyed request; empty for others
 * @param recorder records the answer of a keyed request; empty for others
 */
record Call(
        HttpServletRequest request,
        HttpServletResponse response,
        Snapshot snapshot,
        Route route,
        RequestClass requestClass,
        String organisation,
        RequestBody body,
        long startNanos,
        Optional<Permit> permit,
        Optional<AnswerRecorder> recorder) {
    Call withPermit(Permit newPermit, AnswerRecorder newRecorder) {
        return new Call(
                request,
                response,
                snapshot,
                route,
                requestClass,
                organisation,
                body,
                startNanos,
                Optional.of(newPermit),
                Optional.of(newRecorder));
    }

    Duration timeLeft() {
        long elapsed = System.nanoTime() - startNanos;
        return Duration.ofMillis(requestClass.deadlineMillis()).minusNanos(elapsed);
    }
}
