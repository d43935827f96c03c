package org.azureshed.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azureshed.poison.RequestFingerprint;

/**
 * Counts, across all nodes, the target crashes during which a request was running. Each node counts
 * only the crashes of its own target, and merging keeps the highest count of each node, so reports
 * can be merged in any order. Not thread-safe.
 */
public final class SuspectRequests {
    /** Crashes after which a request is refused; a harmless one rarely runs during three. */
    private static final int CRASHES_UNTIL_REFUSAL = 3;

    /** Time after its last crash for which a request is kept. */
    private static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

    private static final int MAX_REQUESTS = 1_024;

    private final Map<RequestFingerprint, Map<String, Integer>> crashes = new HashMap<>();
    private final Map<RequestFingerprint, Long> lastCrashNanos = new HashMap<>();

    /**
     * One node's crash count for a request.
     *
     * @param node name of the node
     * @param request fingerprint of the request
     * @param crashes number of crashes of the node's target during the request
     */
    public record Report(String node, RequestFingerprint request, int crashes) {}

    /**
     * Counts a crash of the target beside this node.
     *
     * @param node name of this node
     * @param request fingerprint of a request that was running
     * @param nowNanos current time
     */
    public void crashed(String node, RequestFingerprint request, long nowNanos) {
        int before = crashes.getOrDefault(request, Map.of()).getOrDefault(node, 0);
        merge(new Report(node, request, before + 1), nowNanos);
    }

    /**
     * Merges a report of any node. New requests are ignored while the maximum number is kept.
     *
     * @param report the report
     * @param nowNanos current time
     */
    public void merge(Report report, long nowNanos) {
        expire(nowNanos);
        if (crashes.size() >= MAX_REQUESTS && !crashes.containsKey(report.request())) {
            return;
        }
        Map<String, Integer> counts =
                crashes.computeIfAbsent(report.request(), key -> new HashMap<>());
        int known = counts.getOrDefault(report.node(), 0);
        if (report.crashes() > known) {
            counts.put(report.node(), report.crashes());
            lastCrashNanos.put(report.request(), nowNanos);
        }
    }

    /**
     * Whether no request is suspect, which is the usual case.
     *
     * @return true if requests need not be checked
     */
    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Whether a request was running during a crash, so that it must not be retried automatically.
     *
     * @param request fingerprint of the request
     * @return true after one crash
     */
    public boolean suspect(RequestFingerprint request) {
        return crashes.containsKey(request);
    }

    /**
     * Whether a request is to be refused.
     *
     * @param request fingerprint of the request
     * @return true once the crashes of all nodes reach the limit
     */
    public boolean refused(RequestFingerprint request) {
        return crashes.getOrDefault(request, Map.of()).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum()
                >= CRASHES_UNTIL_REFUSAL;
    }

    /**
     * All counts, to be sent to other nodes.
     *
     * @return one report for each request and node
     */
    public List<Report> reports() {
        List<Report> reports = new ArrayList<>();
        crashes.forEach(
                (request, counts) ->
                        counts.forEach(
                                (node, count) -> reports.add(new Report(node, request, count))));
        return reports;
    }

    private void expire(long nowNanos) {
        lastCrashNanos.entrySet().removeIf(entry -> nowNanos - entry.getValue() > RETENTION_NANOS);
        crashes.keySet().retainAll(lastCrashNanos.keySet());
    }
}
