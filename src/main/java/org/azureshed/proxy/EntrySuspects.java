package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServletRequest;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.model.Outcome;
import org.azureshed.model.UnknownCause;
import org.azureshed.poison.PoisonEvent;
import org.azureshed.poison.RequestFingerprint;
import org.azureshed.poison.Suspects;

/** Entry side: recognises requests that crash targets. */
@Singleton
final class EntrySuspects {
    private final ControlLoop control;
    private final Suspects suspects;

    @Inject
    EntrySuspects(ControlLoop control, Suspects suspects) {
        this.control = control;
        this.suspects = suspects;
    }

    /** Starts to follow a request. */
    Followed follow(Call call) {
        HttpServletRequest request = call.request();
        String query = request.getQueryString();
        return new Followed(
                RequestFingerprint.of(
                        call.organisation(),
                        call.route().id(),
                        request.getMethod(),
                        request.getRequestURI(),
                        query == null ? "" : query,
                        call.body().prefix()));
    }

    /** A request and what its attempts did to targets. Used by one thread. */
    final class Followed {
        private final RequestFingerprint fingerprint;
        private final boolean suspectBefore;
        private boolean crashed;

        private Followed(RequestFingerprint fingerprint) {
            this.fingerprint = fingerprint;
            this.suspectBefore = suspects.view().suspect(fingerprint);
        }

        RequestFingerprint fingerprint() {
            return fingerprint;
        }

        /** Whether the request was running in two crashes or more. */
        boolean refused() {
            return suspects.view().refused(fingerprint);
        }

        /** Whether the request is not suspect, so that another target may run it. */
        boolean mayRetry() {
            return !suspectBefore
                    && !crashed
                    && !suspects.view().crashes().containsKey(fingerprint);
        }

        /** Records that the host side found the target dead after the attempt. */
        void targetCrashed() {
            crashed = true;
            lost();
        }

        /** Records how an attempt ended. */
        void ended(Outcome outcome) {
            switch (outcome) {
                case Outcome.Completed(int status) -> {
                    // Most requests are not suspect and cost the control thread nothing.
                    if (suspects.view().suspect(fingerprint)) {
                        submit(new PoisonEvent.Completed(fingerprint, status));
                    }
                }
                case Outcome.Unknown(UnknownCause cause) -> {
                    if (cause == UnknownCause.NODE_CONNECTION_LOST) {
                        lost();
                    }
                }
                case Outcome.NotRun notRun -> {
                    // Says nothing about the request.
                }
            }
        }

        private void lost() {
            submit(new PoisonEvent.AttemptLost(fingerprint));
        }
    }

    private void submit(PoisonEvent event) {
        control.submit(new ControlEvent.Poison(event));
    }
}
