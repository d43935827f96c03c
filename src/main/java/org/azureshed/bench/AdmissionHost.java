package org.azureshed.bench;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;
import org.azureshed.admission.Admission;
import org.azureshed.admission.Pending;
import org.azureshed.admission.Refusal;
import org.azureshed.admission.Request;
import org.azureshed.admission.Ticket;
import org.azureshed.admission.TicketResult;
import org.azureshed.model.ServicePolicy;
import org.azureshed.model.TargetInfo;

/** A host side that uses {@link Admission} in front of its target. */
final class AdmissionHost implements SimulatedHost {
    private final VirtualTimeScheduler scheduler;
    private final TargetInfo target;
    private final ToLongFunction<SimulatedRequest> serviceNanos;
    private final Admission admission = new Admission();

    AdmissionHost(
            VirtualTimeScheduler scheduler,
            TargetInfo target,
            ServicePolicy policy,
            ToLongFunction<SimulatedRequest> serviceNanos) {
        this.scheduler = scheduler;
        this.target = target;
        this.serviceNanos = serviceNanos;
        admission.apply(List.of(target), Map.of(policy.name(), policy), scheduler.nowNanos());
    }

    @Override
    public void submit(SimulatedRequest request, long deadlineNanos, AttemptCallback callback) {
        Pending pending =
                admission.admit(
                        new Request(
                                target.id(),
                                request.requestClass(),
                                request.requestClass().name(),
                                request.organisation(),
                                deadlineNanos),
                        scheduler.nowNanos());
        if (!pending.decision().isDone()) {
            scheduler.scheduleAt(
                    pending.expiresAtNanos(), () -> pending.expire(scheduler.nowNanos()));
        }
        pending.decision()
                .thenAccept(
                        decision -> {
                            switch (decision) {
                                case Ticket ticket -> serve(request, ticket, callback);
                                case Refusal refusal ->
                                        callback.completed(
                                                Optional.of(refusal.reason()),
                                                admission.report(
                                                        target.id(), scheduler.nowNanos()));
                            }
                        });
    }

    private void serve(SimulatedRequest request, Ticket ticket, AttemptCallback callback) {
        scheduler.scheduleAfter(
                serviceNanos.applyAsLong(request),
                () -> {
                    ticket.close(TicketResult.SUCCEEDED, scheduler.nowNanos());
                    callback.completed(
                            Optional.empty(), admission.report(target.id(), scheduler.nowNanos()));
                });
    }
}
