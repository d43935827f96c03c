package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.ejection.HostMeter;
import org.azureshed.model.Endpoint;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.poison.CrashReport;
import org.azureshed.poison.CrashWatch;
import org.azureshed.poison.PoisonEvent;
import org.azureshed.poison.PoisonView;
import org.azureshed.poison.RequestFingerprint;
import org.azureshed.poison.Suspects;
import org.azureshed.telemetry.EventLog;

/** Host side: detects crashed targets and reports the requests that they were running. */
@Singleton
final class CrashDetector {
    /** Delay before the second check: an exiting process closes its sockets one by one. */
    private static final long RECHECK_DELAY_MILLIS = 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    private final ControlLoop control;
    private final CrashWatch watch;
    private final Suspects suspects;
    private final HostMeter meter;

    @Inject
    CrashDetector(ControlLoop control, CrashWatch watch, Suspects suspects, HostMeter meter) {
        this.control = control;
        this.watch = watch;
        this.suspects = suspects;
        this.meter = meter;
    }

    /**
     * Records that a request is about to be sent to a target.
     *
     * @return why it must not be sent, or empty if it may be sent
     */
    Optional<RefusalReason> begin(
            TargetInfo target, String exchange, RequestFingerprint fingerprint) {
        PoisonView view = suspects.view();
        if (view.refused(fingerprint)) {
            return Optional.of(RefusalReason.POISON_REQUEST);
        }
        boolean suspect = view.suspect(fingerprint);
        watch.announced(target.id(), target.service());
        if (watch.start(target.id(), exchange, fingerprint, suspect)) {
            return Optional.empty();
        }
        // A target runs at most one suspect request at a time.
        return Optional.of(suspect ? RefusalReason.QUEUE_FULL : RefusalReason.TARGET_UNKNOWN);
    }

    /** Records that a request ended. Its target may already have been reported as crashed. */
    void end(TargetId target, String exchange) {
        watch.end(target, exchange);
    }

    /**
     * Records that the connection of a request was lost, and checks whether its target crashed.
     *
     * @return whether the target refuses connections
     */
    boolean connectionLost(TargetInfo target, String exchange) {
        watch.connectionLost(target.id(), exchange, nowMillis());
        return checkCrashed(target);
    }

    /**
     * Checks whether a target crashed, and reports a crash once.
     *
     * @return whether the target refuses connections
     */
    boolean checkCrashed(TargetInfo target) {
        if (!refusesConnections(target.address())) {
            return false;
        }
        Optional<CrashReport> crash =
                watch.crashed(target.id(), nowMillis())
                        .filter(found -> !found.inFlight().isEmpty());
        crash.ifPresent(this::report);
        return true;
    }

    private void report(CrashReport crash) {
        EventLog.warning("target_crashed")
                .with("service", crash.service())
                .with("target", crash.target())
                .with("crash", Long.toHexString(crash.crashId()))
                .with("suspects", crash.inFlight().size())
                .write();
        // The lost connections count against the requests, not against the health of the target.
        meter.forget(crash.target());
        control.submit(new ControlEvent.Poison(new PoisonEvent.TargetCrashed(crash)));
        control.submit(new ControlEvent.TargetWithdrawn(crash.target()));
    }

    private static boolean refusesConnections(Endpoint address) {
        if (refusesNow(address)) {
            return true;
        }
        try {
            TimeUnit.MILLISECONDS.sleep(RECHECK_DELAY_MILLIS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return false;
        }
        return refusesNow(address);
    }

    private static boolean refusesNow(Endpoint address) {
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.host(), address.port()), CONNECT_TIMEOUT_MILLIS);
            return false;
        } catch (ConnectException refused) {
            return true;
        } catch (IOException other) {
            // A target that does not answer in time may be alive and overloaded.
            return false;
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
