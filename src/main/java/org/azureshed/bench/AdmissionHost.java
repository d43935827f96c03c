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

/** A host side with the fleet's admission in front of its target. */
final class AdmissionHost implements SimulatedHost {
    private final VirtualTime time;
    private final TargetInfo target;
    private final ToLongFunction<SimulatedRequest> serviceNanos;
    private final Admission admission = new Admission();

    AdmissionHost(
            VirtualTime time,
            TargetInfo target,
            ServicePolicy policy,
            ToLongFunction<SimulatedRequest> serviceNanos) {
        this.time = time;
        this.target = target;
        this.serviceNanos = serviceNanos;
        admission.apply(List.of(target), Map.of(policy.name(), policy), time.now());
    }

    @Override
    public void offer(SimulatedRequest request, long deadlineNanos, Answer answer) {
        Pending pending =
                admission.admit(
                        new Request(
                                target.id(),
                                request.requestClass(),
                                request.requestClass().name(),
                                request.organisation(),
                                deadlineNanos),
                        time.now());
        if (!pending.decision().isDone()) {
            time.at(pending.expiresAtNanos(), () -> pending.expire(time.now()));
        }
        pending.decision()
                .thenAccept(
                        decision -> {
                            switch (decision) {
                                case Ticket ticket -> serve(request, ticket, answer);
                                case Refusal refusal ->
                                        answer.end(
                                                Optional.of(refusal.reason()),
                                                admission.report(target.id(), time.now()));
                            }
                        });
    }

    private void serve(SimulatedRequest request, Ticket ticket, Answer answer) {
        time.after(
                serviceNanos.applyAsLong(request),
                () -> {
                    ticket.close(TicketResult.SUCCEEDED, time.now());
                    answer.end(Optional.empty(), admission.report(target.id(), time.now()));
                });
    }
}
