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
 * Tracks on the host side which requests each target is processing, and reports them if the target
 * crashes.
 *
 * <p>Thread-safe. A request whose connection broke stays recorded for a while, because the host
 * side sees the broken connection before it learns that the target crashed.
 *
 * <pre>{@code
 * if (watch.start(target, exchange, fingerprint, view.suspect(fingerprint))) {
 *     ...
 *     watch.end(target, exchange);
 * }
 * }</pre>
 */
public final class CrashWatch {
    /** Longest time from a broken connection until the target's crash is detected. */
    private static final long LOST_CONNECTION_MILLIS = 10_000;

    private static final int MAX_LOST_CONNECTIONS = 256;
    private static final long CRASH_ID_MASK = 0xFFFF_FFFF_FFFFL;

    private record Running(RequestFingerprint fingerprint, boolean suspect) {}

    private record LostConnection(RequestFingerprint fingerprint, long atMillis) {}

    private static final class HostedTarget {
        private final String service;
        private final Map<String, Running> running = new HashMap<>();
        private final Deque<LostConnection> lostConnections = new ArrayDeque<>();

        HostedTarget(String service) {
            this.service = service;
        }
    }

    private final String crashIdPrefix;
    private final Map<TargetId, HostedTarget> targets = new HashMap<>();
    private long crashes;

    /**
     * Creates a watch without targets.
     *
     * @param node this node; part of the crash ids
     * @param incarnation start time of this process; makes crash ids unique across restarts
     */
    public CrashWatch(NodeId node, long incarnation) {
        this.crashIdPrefix = node + "/" + incarnation;
    }

    /**
     * Starts to track a target. Repeated calls have no effect.
     *
     * @param target the announced target
     * @param service name of its service
     */
    public synchronized void announced(TargetId target, String service) {
        targets.computeIfAbsent(target, id -> new HostedTarget(service));
    }

    /**
     * Records that a request is about to be sent to a target.
     *
     * @param target the target that receives it
     * @param exchange id of the exchange
     * @param fingerprint fingerprint of the request
     * @param suspect whether {@link PoisonView#suspect} holds for it
     * @return false if the request must not be sent: it is a suspect and the target is processing
     *     another suspect, or the target is not tracked
     */
    public synchronized boolean start(
            TargetId target, String exchange, RequestFingerprint fingerprint, boolean suspect) {
        HostedTarget hosted = targets.get(target);
        if (hosted == null) {
            return false;
        }
        if (suspect && hosted.running.values().stream().anyMatch(Running::suspect)) {
            return false;
        }
        hosted.running.put(exchange, new Running(fingerprint, suspect));
        return true;
    }

    /**
     * Records that a request ended without a broken connection.
     *
     * @param target the target that received it
     * @param exchange id of the exchange
     */
    public synchronized void end(TargetId target, String exchange) {
        HostedTarget hosted = targets.get(target);
        if (hosted != null) {
            hosted.running.remove(exchange);
        }
    }

    /**
     * Records that the connection of a request broke, perhaps because the target crashed.
     *
     * @param target the target that received it
     * @param exchange id of the exchange
     * @param nowMillis the host's monotonic clock in milliseconds
     */
    public synchronized void connectionLost(TargetId target, String exchange, long nowMillis) {
        HostedTarget hosted = targets.get(target);
        Running request = hosted == null ? null : hosted.running.remove(exchange);
        if (request != null) {
            hosted.lostConnections.addLast(new LostConnection(request.fingerprint(), nowMillis));
            if (hosted.lostConnections.size() > MAX_LOST_CONNECTIONS) {
                hosted.lostConnections.removeFirst();
            }
        }
    }

    /**
     * Stops tracking a target that shut down without a crash.
     *
     * @param target the target that left
     */
    public synchronized void withdrawn(TargetId target) {
        targets.remove(target);
    }

    /**
     * Reports the crash of a target and stops tracking it.
     *
     * @param target the target that crashed
     * @param nowMillis the host's monotonic clock in milliseconds
     * @return the crash, or empty if the target is not tracked, for example because this crash was
     *     already reported
     */
    public synchronized Optional<CrashReport> crashed(TargetId target, long nowMillis) {
        HostedTarget hosted = targets.remove(target);
        if (hosted == null) {
            return Optional.empty();
        }
        Set<RequestFingerprint> inFlight = new HashSet<>();
        hosted.running.values().forEach(request -> inFlight.add(request.fingerprint()));
        for (LostConnection request : hosted.lostConnections) {
            if (nowMillis - request.atMillis() <= LOST_CONNECTION_MILLIS) {
                inFlight.add(request.fingerprint());
            }
        }
        crashes++;
        long crashId =
                Hashing.sha256()
                                .hashString(
                                        crashIdPrefix + "/" + target + "/" + crashes,
                                        StandardCharsets.UTF_8)
                                .asLong()
                        & CRASH_ID_MASK;
        return Optional.of(new CrashReport(crashId, hosted.service, target, inFlight));
    }
}
