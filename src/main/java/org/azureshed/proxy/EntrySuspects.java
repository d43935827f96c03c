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

/** Entry side: detects requests that crash targets. */
@Singleton
final class EntrySuspects {
    private final ControlLoop control;
    private final Suspects suspects;

    @Inject
    EntrySuspects(ControlLoop control, Suspects suspects) {
        this.control = control;
        this.suspects = suspects;
    }

    /** Starts to track a request. */
    TrackedRequest track(Call call) {
        HttpServletRequest request = call.request();
        String query = request.getQueryString();
        return new TrackedRequest(
                RequestFingerprint.of(
                        call.organisation(),
                        call.route().id(),
                        request.getMethod(),
                        request.getRequestURI(),
                        query == null ? "" : query,
                        call.body().prefix()));
    }

    /** Tracks whether attempts of one request crash targets. Not thread-safe. */
    final class TrackedRequest {
        private final RequestFingerprint fingerprint;
        private final boolean initiallySuspect;
        private boolean crashed;

        private TrackedRequest(RequestFingerprint fingerprint) {
            this.fingerprint = fingerprint;
            this.initiallySuspect = suspects.view().suspect(fingerprint);
        }

        RequestFingerprint fingerprint() {
            return fingerprint;
        }

        /** Whether the request was running during at least two crashes. */
        boolean refused() {
            return suspects.view().refused(fingerprint);
        }

        /**
         * Whether another target may run the request: only if it was not suspect when it arrived,
         * and was not found to be running during a crash since. A connection that only broke since
         * then does not prevent a retry.
         */
        boolean mayRetry() {
            return !initiallySuspect
                    && !crashed
                    && !suspects.view().crashes().containsKey(fingerprint);
        }

        /** Records that the host side found that the target had crashed after the attempt. */
        void targetCrashed() {
            crashed = true;
            reportAttemptLost();
        }

        /** Records how an attempt ended. */
        void ended(Outcome outcome) {
            switch (outcome) {
                case Outcome.Completed(int status) -> {
                    // Only suspect requests are reported, to keep load off the control thread.
                    if (suspects.view().suspect(fingerprint)) {
                        submit(new PoisonEvent.Completed(fingerprint, status));
                    }
                }
                case Outcome.Unknown(UnknownCause cause) -> {
                    if (cause == UnknownCause.NODE_CONNECTION_LOST) {
                        reportAttemptLost();
                    }
                }
                case Outcome.NotRun notRun -> {
                    // A request that did not run cannot have crashed a target.
                }
            }
        }

        private void reportAttemptLost() {
            submit(new PoisonEvent.AttemptLost(fingerprint));
        }
    }

    private void submit(PoisonEvent event) {
        control.submit(new ControlEvent.Poison(event));
    }
}
