package org.azureshed.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.azureshed.poison.RequestFingerprint;

/**
 * Requests that were running when targets crashed, as all nodes report them. Each node counts the
 * crashes of its own target, so reports can be merged in any order. Not thread-safe.
 */
public final class SuspectRequests {
    /** Crashes after which a request is refused; an innocent one is rarely there three times. */
    private static final int REFUSED_CRASHES = 3;

    /** Time after its last crash for which a request is remembered. */
    private static final long MEMORY_NANOS = TimeUnit.MINUTES.toNanos(5);

    private static final int MAX_REQUESTS = 1_024;

    private final Map<RequestFingerprint, Map<String, Integer>> crashes = new HashMap<>();
    private final Map<RequestFingerprint, Long> lastNanos = new HashMap<>();

    /**
     * One node's count for a request.
     *
     * @param node name of the node
     * @param request the request
     * @param crashes crashes of the node's target during the request
     */
    public record Report(String node, RequestFingerprint request, int crashes) {}

    /**
     * Counts a crash at the target beside this node.
     *
     * @param node name of this node
     * @param request a request that was running
     * @param nowNanos current time
     */
    public void crashed(String node, RequestFingerprint request, long nowNanos) {
        int before = crashes.getOrDefault(request, Map.of()).getOrDefault(node, 0);
        merge(new Report(node, request, before + 1), nowNanos);
    }

    /**
     * Takes over a report.
     *
     * @param report a node's count
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
            lastNanos.put(report.request(), nowNanos);
        }
    }

    /**
     * Whether nothing is suspect, the usual case.
     *
     * @return true if no request needs to be checked
     */
    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    /**
     * Whether a request was running in a crash and must not be sent again by itself.
     *
     * @param request the request
     * @return true after one crash
     */
    public boolean suspect(RequestFingerprint request) {
        return crashes.containsKey(request);
    }

    /**
     * Whether a request is refused.
     *
     * @param request the request
     * @return true after several crashes
     */
    public boolean refused(RequestFingerprint request) {
        return crashes.getOrDefault(request, Map.of()).values().stream()
                        .mapToInt(Integer::intValue)
                        .sum()
                >= REFUSED_CRASHES;
    }

    /**
     * All counts, for other nodes.
     *
     * @return the reports
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
        lastNanos.entrySet().removeIf(entry -> nowNanos - entry.getValue() > MEMORY_NANOS);
        crashes.keySet().retainAll(lastNanos.keySet());
    }
}
