package org.azureshed.ejection;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.model.TargetId;

/**
 * Measures service times and errors of the targets on this VM. The service time lasts from the
 * admission of a request to the end of its response, without the wait in the host side's queue.
 *
 * <p>Thread-safe. Memory is bounded: the newest 512 samples for each target and class.
 *
 * <pre>{@code
 * long token = meter.started(target, "page", nowMicros);
 * ...
 * meter.finished(token, HostMeter.Result.OK, nowMicros);
 * meter.digest(target, nowMicros).ifPresent(digest -> header(digest.encode()));
 * }</pre>
 */
public final class HostMeter {
    /** How a request ended. */
    public enum Result {
        /** The target answered. */
        OK,
        /**
         * The target failed: status 5xx unless it shed the request, broken connection or time-out.
         */
        ERROR,
        /** The target shed the request or did not run it, so it is not counted. */
        NOT_RUN,
        /**
         * The caller cancelled, or a connection broke while the answer was relayed; the elapsed
         * time is a lower bound of the service time.
         */
        CANCELLED
    }

    private record Running(TargetId target, String requestClass, long startMicros) {}

    private static final int MAX_RUNNING = 65_536;
    private static final long DIGEST_INTERVAL_MICROS = 500_000;

    /**
     * A running request counts as stuck when it is older than this and than twice the median.
     * Without stuck requests, a target that never answers would have no samples.
     */
    private static final long STUCK_MICROS = 1_000_000;

    private final Map<TargetId, Map<String, SampleRing>> rings = new HashMap<>();
    private final Map<Long, Running> running = new LinkedHashMap<>();
    private final Map<TargetId, TargetDigest> latest = new HashMap<>();
    private long nextToken = 1;

    /**
     * Records that a request was sent to a target.
     *
     * @param target the target that receives it
     * @param requestClass class of the request
     * @param nowMicros the host's monotonic clock in microseconds
     * @return token for {@link #finished}
     */
    public synchronized long started(TargetId target, String requestClass, long nowMicros) {
        long token = nextToken++;
        if (running.size() < MAX_RUNNING && ring(target, requestClass) != null) {
            running.put(token, new Running(target, requestClass, nowMicros));
        }
        return token;
    }

    /**
     * Records that a request ended.
     *
     * @param token from {@link #started}; ignored if unknown
     * @param result how it ended
     * @param nowMicros the host's monotonic clock in microseconds
     */
    public synchronized void finished(long token, Result result, long nowMicros) {
        Running request = running.remove(token);
        if (request == null || result == Result.NOT_RUN) {
            return;
        }
        SampleRing ring = ring(request.target(), request.requestClass());
        long elapsed = Math.max(0, nowMicros - request.startMicros());
        // An early cancellation would make the target look faster than it is.
        if (result == Result.CANCELLED && elapsed < ring.medianMicros()) {
            return;
        }
        ring.add(nowMicros, elapsed, result == Result.ERROR);
    }

    /**
     * Summarises the latest window of a target.
     *
     * @param target the measured target
     * @param nowMicros the host's monotonic clock in microseconds
     * @return the digest, or empty if the target has no samples
     */
    public synchronized Optional<TargetDigest> digest(TargetId target, long nowMicros) {
        TargetDigest cached = latest.get(target);
        // A target with few requests may not answer again soon, so each answer has a new digest.
        if (cached != null
                && !cached.sparse()
                && nowMicros - cached.windowEndMillis() * 1_000 < DIGEST_INTERVAL_MICROS) {
            return Optional.of(cached);
        }
        List<ClassDigest> classes = new ArrayList<>();
        Map<String, SampleRing> byClass = rings.getOrDefault(target, Map.of());
        byClass.forEach(
                (name, ring) -> {
                    long[] stuck = stuck(target, name, ring.medianMicros(), nowMicros);
                    ClassDigest digest = ring.digest(name, nowMicros, stuck);
                    if (digest.samples() > 0) {
                        classes.add(digest);
                    }
                });
        if (classes.isEmpty()) {
            latest.remove(target);
            return Optional.empty();
        }
        TargetDigest digest = new TargetDigest(nowMicros / 1_000, classes);
        latest.put(target, digest);
        return Optional.of(digest);
    }

    /**
     * Removes all measurements of a target.
     *
     * @param target the target that left
     */
    public synchronized void forget(TargetId target) {
        rings.remove(target);
        latest.remove(target);
        running.values().removeIf(request -> request.target().equals(target));
    }

    private SampleRing ring(TargetId target, String requestClass) {
        Map<String, SampleRing> byClass =
                rings.computeIfAbsent(target, id -> new LinkedHashMap<>());
        if (!byClass.containsKey(requestClass) && byClass.size() >= TargetDigest.MAX_CLASSES) {
            return null;
        }
        return byClass.computeIfAbsent(requestClass, name -> new SampleRing());
    }

    private long[] stuck(TargetId target, String requestClass, long median, long nowMicros) {
        long limit = Math.max(STUCK_MICROS, 2 * median);
        return running.values().stream()
                .filter(request -> request.target().equals(target))
                .filter(request -> request.requestClass().equals(requestClass))
                .mapToLong(request -> nowMicros - request.startMicros())
                .filter(elapsed -> elapsed > limit)
                .toArray();
    }
}
