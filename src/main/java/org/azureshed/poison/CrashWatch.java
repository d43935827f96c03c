package org.azureshed.poison;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * Knows on the host side which requests run at which target, and which of them were running when a
 * target died.
 *
 * <p>Thread-safe. A request whose connection broke is remembered for a while, because the broken
 * connection is seen before the announcement is gone.
 *
 * <pre>{@code
 * if (watch.start(target, exchange, fingerprint, view.suspect(fingerprint))) {
 *     ...
 *     watch.end(target, exchange);
 * }
 * }</pre>
 */
public final class CrashWatch {
    /** Longest time from a broken connection until the announcement is known to be gone. */
    private static final long BROKEN_MILLIS = 10_000;

    private static final int MAX_BROKEN = 256;
    private static final long CRASH_ID_MASK = 0xFFFF_FFFF_FFFFL;

    private record Running(RequestFingerprint fingerprint, boolean suspect) {}

    private record Broken(RequestFingerprint fingerprint, long atMillis) {}

    private static final class Watched {
        private final String service;
        private final Map<String, Running> running = new HashMap<>();
        private final Deque<Broken> broken = new ArrayDeque<>();

        Watched(String service) {
            this.service = service;
        }
    }

    private final String origin;
    private final Map<TargetId, Watched> targets = new HashMap<>();
    private long crashes;

    /**
     * Creates a watch without targets.
     *
     * @param node this node
     * @param incarnation start time of this process; makes crash ids unique across restarts
     */
    public CrashWatch(NodeId node, long incarnation) {
        this.origin = node + "/" + incarnation;
    }

    /**
     * Records that a target lives. Repeated calls have no effect.
     *
     * @param target the target
     * @param service its service
     */
    public synchronized void announced(TargetId target, String service) {
        targets.computeIfAbsent(target, id -> new Watched(service));
    }

    /**
     * Records that a request is about to be sent to a target.
     *
     * @param target the target
     * @param exchange id of the exchange
     * @param fingerprint the request
     * @param suspect whether the request is under suspicion
     * @return false if the request is suspect and another suspect runs at the target, or if the
     *     target is not known; the request must not be sent then
     */
    public synchronized boolean start(
            TargetId target, String exchange, RequestFingerprint fingerprint, boolean suspect) {
        Watched watched = targets.get(target);
        if (watched == null) {
            return false;
        }
        if (suspect && watched.running.values().stream().anyMatch(Running::suspect)) {
            return false;
        }
        watched.running.put(exchange, new Running(fingerprint, suspect));
        return true;
    }

    /**
     * Records that a request ended while its target lived.
     *
     * @param target the target
     * @param exchange id of the exchange
     */
    public synchronized void end(TargetId target, String exchange) {
        Watched watched = targets.get(target);
        if (watched != null) {
            watched.running.remove(exchange);
        }
    }

    /**
     * Records that the connection of a request broke, perhaps because the target died.
     *
     * @param target the target
     * @param exchange id of the exchange
     * @param nowMillis the host's monotonic clock in milliseconds
     */
    public synchronized void connectionLost(TargetId target, String exchange, long nowMillis) {
        Watched watched = targets.get(target);
        Running request = watched == null ? null : watched.running.remove(exchange);
        if (request != null) {
            watched.broken.addLast(new Broken(request.fingerprint(), nowMillis));
            if (watched.broken.size() > MAX_BROKEN) {
                watched.broken.removeFirst();
            }
        }
    }

    /**
     * Records that a target left in an orderly way.
     *
     * @param target the target
     */
    public synchronized void withdrawn(TargetId target) {
        targets.remove(target);
    }

    /**
     * Records that a target died.
     *
     * @param target the target
     * @param nowMillis the host's monotonic clock in milliseconds
     * @return the crash, or empty if this death was reported before
     */
    public synchronized Optional<CrashReport> died(TargetId target, long nowMillis) {
        Watched watched = targets.remove(target);
        if (watched == null) {
            return Optional.empty();
        }
        Set<RequestFingerprint> inFlight = new HashSet<>();
        watched.running.values().forEach(request -> inFlight.add(request.fingerprint()));
        for (Broken request : watched.broken) {
            if (nowMillis - request.atMillis() <= BROKEN_MILLIS) {
                inFlight.add(request.fingerprint());
            }
        }
        crashes++;
        long crashId =
                Hashing.sha256()
                                .hashString(
                                        origin + "/" + target + "/" + crashes,
                                        StandardCharsets.UTF_8)
                                .asLong()
                        & CRASH_ID_MASK;
        return Optional.of(new CrashReport(crashId, watched.service, target, inFlight));
    }
}
