package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.TargetDigest;
import org.azureshed.model.TargetId;

/** Passes the digests that answers carry to the control thread, at a bounded rate. */
@Singleton
final class DigestFeed {
    /**
     * Busy targets answer thousands of times a second; the detector needs one digest a second. All
     * digests of a target with few requests are passed on: they come in bursts, and the next one
     * would tell the result of a burst about 20 s later.
     */
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Bounds the memory for targets that have left. */
    private static final int MAX_TARGETS = 10_000;

    private final ControlLoop control;
    private final Map<TargetId, Long> lastNanos = new ConcurrentHashMap<>();

    @Inject
    DigestFeed(ControlLoop control) {
        this.control = control;
    }

    /**
     * Takes the digest of an answer.
     *
     * @param service service of the target
     * @param target the target
     * @param digest what its host measured
     */
    void arrived(String service, TargetId target, TargetDigest digest) {
        long now = System.nanoTime();
        Long last = lastNanos.get(target);
        if (digest.sparse()) {
            submit(service, target, digest);
            return;
        }
        if (last != null && now - last < INTERVAL_NANOS) {
            return;
        }
        boolean claimed =
                last == null
                        ? lastNanos.putIfAbsent(target, now) == null
                        : lastNanos.replace(target, last, now);
        if (claimed) {
            submit(service, target, digest);
        }
        if (lastNanos.size() > MAX_TARGETS) {
            lastNanos.values().removeIf(sent -> now - sent > INTERVAL_NANOS);
        }
    }

    private void submit(String service, TargetId target, TargetDigest digest) {
        control.submit(
                new ControlEvent.Ejection(
                        new EjectionEvent.DigestReceived(service, target, digest)));
    }
}
