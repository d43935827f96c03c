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

/** Passes target digests from answers to the control thread, with a rate limit per target. */
@Singleton
final class DigestFeed {
    /**
     * Shortest time between two digests of a busy target. Such a target answers thousands of times
     * a second, and the detector needs one digest a second. The limit does not apply to targets
     * with few requests: their requests come in bursts, so with the limit the result of a burst
     * would reach the detector only with the next burst, about 20 s later.
     */
    private static final long MIN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Number of entries above which old entries are removed, to bound the memory. */
    private static final int CLEANUP_THRESHOLD_TARGETS = 10_000;

    private final ControlLoop control;
    private final Map<TargetId, Long> lastSubmitNanos = new ConcurrentHashMap<>();

    @Inject
    DigestFeed(ControlLoop control) {
        this.control = control;
    }

    /**
     * Submits the digest of an answer unless the rate limit drops it.
     *
     * @param service the service that the target is an instance of
     * @param target the target
     * @param digest measurements of its host side
     */
    void received(String service, TargetId target, TargetDigest digest) {
        long now = System.nanoTime();
        Long last = lastSubmitNanos.get(target);
        if (digest.sparse()) {
            submit(service, target, digest);
            return;
        }
        if (last != null && now - last < MIN_INTERVAL_NANOS) {
            return;
        }
        boolean claimed =
                last == null
                        ? lastSubmitNanos.putIfAbsent(target, now) == null
                        : lastSubmitNanos.replace(target, last, now);
        if (claimed) {
            submit(service, target, digest);
        }
        if (lastSubmitNanos.size() > CLEANUP_THRESHOLD_TARGETS) {
            lastSubmitNanos.values().removeIf(submitted -> now - submitted > MIN_INTERVAL_NANOS);
        }
    }

    private void submit(String service, TargetId target, TargetDigest digest) {
        control.submit(
                new ControlEvent.Ejection(
                        new EjectionEvent.DigestReceived(service, target, digest)));
    }
}
