package org.azureshed.dispatch;

import java.util.Optional;

/**
 * Decides on whose behalf a request runs.
 *
 * <p>Calls that a target makes while it runs a request have no key and come from the same address
 * as callers of this VM. They are told by their time only: the local target was running a request.
 */
public sealed interface KeyCheck {
    /**
     * The request may run.
     *
     * @param organisation organisation that holds the request's key, or empty if it needs none
     */
    record Allowed(Optional<Organisation> organisation) implements KeyCheck {}

    /** No organisation holds the request's key, or the key is missing. */
    record Denied() implements KeyCheck {}

    /**
     * Checks the key of a request.
     *
     * @param configuration the active configuration
     * @param route route of the request
     * @param key value of the key's header, or empty if the request has none
     * @param targetCallPossible whether the request may be a call of the local target
     * @return whether the request may run, and for whom
     */
    static KeyCheck of(
            TrafficConfiguration configuration,
            ForwardRoute route,
            Optional<String> key,
            boolean targetCallPossible) {
        if (!configuration.hasOrganisations()) {
            return new Allowed(Optional.empty());
        }
        Optional<Organisation> holder = key.flatMap(configuration.keys()::holder);
        boolean exempt = route.publicAccess() || key.isEmpty() && targetCallPossible;
        return holder.isPresent() || exempt ? new Allowed(holder) : new Denied();
    }
}
