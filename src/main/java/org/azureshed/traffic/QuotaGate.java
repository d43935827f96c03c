package org.azureshed.traffic;

import java.util.function.Consumer;
import org.azureshed.dispatch.Organisation;
import org.azureshed.quota.QuotaDecision;

/** Decides whether a request is within the limit of its organisation. */
@FunctionalInterface
public interface QuotaGate {
    /**
     * Decides about one request.
     *
     * @param organisation organisation of the request's caller
     * @param configurationVersion version of the configuration that describes it
     * @param done receives the decision on the event loop, at once or later
     */
    void request(
            Organisation organisation, long configurationVersion, Consumer<QuotaDecision> done);
}
