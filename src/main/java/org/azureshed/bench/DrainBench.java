package org.azureshed.bench;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.io.entity.StringEntity;

/**
 * Measures how the stop of one of three nodes affects requests through the other two, and a slow
 * download through the stopped node.
 *
 * <p>Each run has a fleet of its own. {@code last_request_ms} is the time at which the last
 * response from a target of the stopped node was complete; it is an upper bound for the time at
 * which the last request reached such a target. It and {@code exit_ms} count from the signal.
 * {@code untyped} counts failed requests whose response states neither of the outcomes {@code
 * unknown} and {@code not-run}, including those without a response.
 */
public final class DrainBench {
    private static final int ROUNDS = 2;
    private static final int PAGE_REQUESTS_PER_SECOND = 20;
    private static final int SUBMISSIONS_PER_SECOND = 10;
    private static final Duration WARM_UP_DURATION = Duration.ofSeconds(6);
    private static final Duration LOAD_DURATION = Duration.ofSeconds(16);

    /** Time from the start of the load until the outage, if the run has one. */
    private static final long SECONDS_BEFORE_OUTAGE = 2;

    private static final long SECONDS_FROM_OUTAGE_TO_SIGNAL = 2;

    /** Time limit for an activation and for the exit of the node. */
    private static final long TIMEOUT_SECONDS = 60;

    private static final List<String> SERVICES = List.of("reading", "posting");
    private static final String STOPPED_NODE_ID = "stopped";

    /** How the node is stopped: by SIGTERM, during a platform outage or not, or by SIGKILL. */
    private enum StopMode {
        TERM_PLATFORM_UP,
        TERM_PLATFORM_OUTAGE,
        KILL_PLATFORM_UP
    }

    /**
     * Measurements of one run.
     *
     * @param responses responses through the two other nodes
     * @param downloadComplete whether the slow download received all its bytes
     * @param signalNanos time of the signal, by {@link System#nanoTime()}
     * @param exitMillis time from the signal until the process had exited
     */
    private record RunResult(
            Collection<OpenLoopLoad.Response> responses,
            boolean downloadComplete,
            long signalNanos,
            long exitMillis) {}

    private DrainBench() {}

    /**
     * Runs the measurement.
     *
     * @param args none
     * @throws Exception if the fleet does not start, or the node does not exit within 60 s
     */
    public static void main(String[] args) throws Exception {
        for (StopMode mode : StopMode.values()) {
            for (int round = 1; round <= ROUNDS; round++) {
                print(mode, round, run(mode));
            }
        }
    }

    private static RunResult run(StopMode mode) throws Exception {
        String fleetName = "drain-" + mode.name().toLowerCase(Locale.ROOT);
        try (ProcessFleet fleet = new ProcessFleet(fleetName);
                OpenLoopLoad load = new OpenLoopLoad();
                ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<ProcessFleet.Node> nodes = startFleet(fleet);
            List<ProcessFleet.Node> entryNodes = nodes.subList(0, nodes.size() - 1);
            for (Future<?> future : startLoads(executor, load, entryNodes, WARM_UP_DURATION)) {
                future.get();
            }
            List<Future<Collection<OpenLoopLoad.Response>>> loads =
                    startLoads(executor, load, entryNodes, LOAD_DURATION);
            ProcessFleet.Node stopped = nodes.getLast();
            Future<Boolean> download = executor.submit(new SlowDownload(stopped.entryUri("/")));
            TimeUnit.SECONDS.sleep(SECONDS_BEFORE_OUTAGE);
            if (mode == StopMode.TERM_PLATFORM_OUTAGE) {
                fleet.setFaults("{\"outage\":\"close\"}");
            }
            TimeUnit.SECONDS.sleep(SECONDS_FROM_OUTAGE_TO_SIGNAL);
            if (download.isDone()) {
                throw new IllegalStateException("the download ended before the signal was sent");
            }
            long signalNanos = System.nanoTime();
            long exitMillis = stop(mode, stopped.process(), signalNanos);
            Collection<OpenLoopLoad.Response> responses = new ArrayList<>();
            for (Future<Collection<OpenLoopLoad.Response>> future : loads) {
                responses.addAll(future.get());
            }
            return new RunResult(responses, download.get(), signalNanos, exitMillis);
        }
    }

    /**
     * Starts two entry nodes and, as the last one, the node to stop, each with a target of each
     * service.
     */
    private static List<ProcessFleet.Node> startFleet(ProcessFleet fleet) throws Exception {
        List<ProcessFleet.Node> nodes = new ArrayList<>();
        for (String id : List.of("entry-0", "entry-1", STOPPED_NODE_ID)) {
            nodes.add(fleet.startNode(id, "zone-1"));
        }
        fleet.command("preset", "put", "examples/ordinary.json", "--reason", "bench");
        fleet.command("preset", "use", "ordinary", "--reason", "bench");
        for (ProcessFleet.Node node : nodes) {
            fleet.awaitStarted(node);
            fleet.awaitActivation(node, 1, Duration.ofSeconds(TIMEOUT_SECONDS));
            for (String service : SERVICES) {
                fleet.startTarget(node, service + "-" + node.id(), service);
            }
        }
        for (ProcessFleet.Node node : nodes) {
            fleet.awaitTargets(node, nodes.size() * SERVICES.size());
        }
        return nodes;
    }

    private static List<Future<Collection<OpenLoopLoad.Response>>> startLoads(
            ExecutorService executor,
            OpenLoopLoad load,
            List<ProcessFleet.Node> entryNodes,
            Duration duration) {
        List<Future<Collection<OpenLoopLoad.Response>>> loads = new ArrayList<>();
        for (ProcessFleet.Node entryNode : entryNodes) {
            URI pageUrl = entryNode.entryUri("/chapters/1");
            URI storyUrl = entryNode.entryUri("/stories");
            loads.add(
                    executor.submit(
                            () ->
                                    load.runAndCollect(
                                            () -> new HttpGet(pageUrl),
                                            PAGE_REQUESTS_PER_SECOND,
                                            duration)));
            loads.add(
                    executor.submit(
                            () ->
                                    load.runAndCollect(
                                            () -> storyRequest(storyUrl),
                                            SUBMISSIONS_PER_SECOND,
                                            duration)));
        }
        return loads;
    }

    private static ClassicHttpRequest storyRequest(URI url) {
        HttpPost post = new HttpPost(url);
        post.setEntity(new StringEntity("story"));
        return post;
    }

    private static long stop(StopMode mode, Process process, long signalNanos) throws Exception {
        if (mode == StopMode.KILL_PLATFORM_UP) {
            process.destroyForcibly();
        } else {
            process.destroy();
        }
        if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(
                    "the node did not exit within " + TIMEOUT_SECONDS + " s");
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalNanos);
    }

    private static void print(StopMode mode, int round, RunResult run) {
        Histogram latencyMicros = new Histogram(3);
        long lastResponseNanos = run.signalNanos();
        for (OpenLoopLoad.Response response : run.responses()) {
            if (response.ok()) {
                latencyMicros.recordValue(
                        TimeUnit.NANOSECONDS.toMicros(response.endNanos() - response.dueNanos()));
            }
            if (response.body().contains("-" + STOPPED_NODE_ID + "\"")) {
                lastResponseNanos = Math.max(lastResponseNanos, response.endNanos());
            }
        }
        long failed = count(run, response -> !response.ok());
        long unknown =
                count(run, response -> !response.ok() && response.outcome().equals("unknown"));
        long notRun =
                count(run, response -> !response.ok() && response.outcome().equals("not-run"));
        System.out.printf(
                Locale.ROOT,
                "case=%s round=%d sent=%d failed=%d unknown=%d not_run=%d untyped=%d"
                        + " failed_before_signal=%d download_complete=%s last_request_ms=%d exit_ms=%d p50_ms=%.1f"
                        + " p99_ms=%.1f%n",
                mode.name().toLowerCase(Locale.ROOT),
                round,
                run.responses().size(),
                failed,
                unknown,
                notRun,
                failed - unknown - notRun,
                count(run, response -> !response.ok() && response.endNanos() < run.signalNanos()),
                run.downloadComplete(),
                TimeUnit.NANOSECONDS.toMillis(lastResponseNanos - run.signalNanos()),
                run.exitMillis(),
                latencyMicros.getValueAtPercentile(50) / 1_000.0,
                latencyMicros.getValueAtPercentile(99) / 1_000.0);
    }

    private static long count(RunResult run, Predicate<OpenLoopLoad.Response> condition) {
        return run.responses().stream().filter(condition).count();
    }
}
