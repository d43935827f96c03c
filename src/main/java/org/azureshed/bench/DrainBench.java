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
 * Measures what the stop of one of three nodes costs the callers of the two others, and a slow
 * download through the stopping node.
 *
 * <p>Each case runs on a fleet of its own. A request counts as reaching a target of the stopped
 * node until its answer has arrived, so {@code last_request_ms} is an upper bound. It and {@code
 * exit_ms} count from the signal.
 */
public final class DrainBench {
    private static final int ROUNDS = 2;
    private static final int PAGES_PER_SECOND = 20;
    private static final int SUBMISSIONS_PER_SECOND = 10;
    private static final Duration WARM_UP = Duration.ofSeconds(6);
    private static final Duration LOAD = Duration.ofSeconds(16);
    private static final long OUTAGE_AFTER_SECONDS = 2;
    private static final long SIGNAL_AFTER_SECONDS = 2;
    private static final long EXIT_SECONDS = 60;
    private static final List<String> SERVICES = List.of("reading", "posting");
    private static final String STOPPED = "stopped";

    /** One way in which the node ends. */
    private enum Case {
        TERM_PLATFORM_UP,
        TERM_PLATFORM_OUTAGE,
        KILL_PLATFORM_UP
    }

    /** What one run showed. */
    private record Run(
            Collection<OpenLoopLoad.Answer> answers,
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
        for (Case kind : Case.values()) {
            for (int round = 1; round <= ROUNDS; round++) {
                print(kind, round, run(kind));
            }
        }
    }

    private static Run run(Case kind) throws Exception {
        String name = "drain-" + kind.name().toLowerCase(Locale.ROOT);
        try (ProcessFleet fleet = new ProcessFleet(name);
                OpenLoopLoad load = new OpenLoopLoad();
                ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor()) {
            List<ProcessFleet.Node> nodes = start(fleet);
            List<ProcessFleet.Node> entries = nodes.subList(0, nodes.size() - 1);
            for (Future<?> part : start(executor, load, entries, WARM_UP)) {
                part.get();
            }
            List<Future<Collection<OpenLoopLoad.Answer>>> running =
                    start(executor, load, entries, LOAD);
            ProcessFleet.Node stopped = nodes.getLast();
            Future<Boolean> download = executor.submit(new SlowDownload(stopped.entryUri("/")));
            TimeUnit.SECONDS.sleep(OUTAGE_AFTER_SECONDS);
            if (kind == Case.TERM_PLATFORM_OUTAGE) {
                fleet.faults("{\"outage\":\"close\"}");
            }
            TimeUnit.SECONDS.sleep(SIGNAL_AFTER_SECONDS);
            if (download.isDone()) {
                throw new IllegalStateException("the download ended before the signal");
            }
            long signal = System.nanoTime();
            long exitMillis = stop(kind, stopped.process(), signal);
            Collection<OpenLoopLoad.Answer> answers = new ArrayList<>();
            for (Future<Collection<OpenLoopLoad.Answer>> part : running) {
                answers.addAll(part.get());
            }
            return new Run(answers, download.get(), signal, exitMillis);
        }
    }

    /** Two entry nodes and the node that stops, each with a target of each service. */
    private static List<ProcessFleet.Node> start(ProcessFleet fleet) throws Exception {
        List<ProcessFleet.Node> nodes = new ArrayList<>();
        for (String id : List.of("entry-0", "entry-1", STOPPED)) {
            nodes.add(fleet.startNode(id, "zone-1"));
        }
        fleet.command("preset", "put", "examples/ordinary.json", "--reason", "bench");
        fleet.command("preset", "use", "ordinary", "--reason", "bench");
        for (ProcessFleet.Node node : nodes) {
            fleet.awaitStarted(node);
            fleet.awaitActivation(node, 1, Duration.ofSeconds(EXIT_SECONDS));
            for (String service : SERVICES) {
                fleet.startTarget(node, service + "-" + node.id(), service);
            }
        }
        for (ProcessFleet.Node node : nodes) {
            fleet.awaitTargets(node, nodes.size() * SERVICES.size());
        }
        return nodes;
    }

    private static List<Future<Collection<OpenLoopLoad.Answer>>> start(
            ExecutorService executor,
            OpenLoopLoad load,
            List<ProcessFleet.Node> entries,
            Duration duration) {
        List<Future<Collection<OpenLoopLoad.Answer>>> parts = new ArrayList<>();
        for (ProcessFleet.Node entry : entries) {
            URI pages = entry.entryUri("/chapters/1");
            URI stories = entry.entryUri("/stories");
            parts.add(
                    executor.submit(
                            () ->
                                    load.answers(
                                            () -> new HttpGet(pages), PAGES_PER_SECOND, duration)));
            parts.add(
                    executor.submit(
                            () ->
                                    load.answers(
                                            () -> story(stories),
                                            SUBMISSIONS_PER_SECOND,
                                            duration)));
        }
        return parts;
    }

    private static ClassicHttpRequest story(URI url) {
        HttpPost post = new HttpPost(url);
        post.setEntity(new StringEntity("story"));
        return post;
    }

    private static long stop(Case kind, Process process, long signalNanos) throws Exception {
        if (kind == Case.KILL_PLATFORM_UP) {
            process.destroyForcibly();
        } else {
            process.destroy();
        }
        if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException("the node did not exit within " + EXIT_SECONDS + " s");
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalNanos);
    }

    private static void print(Case kind, int round, Run run) {
        Histogram micros = new Histogram(3);
        long lastNanos = run.signalNanos();
        for (OpenLoopLoad.Answer answer : run.answers()) {
            if (answer.ok()) {
                micros.recordValue(
                        TimeUnit.NANOSECONDS.toMicros(answer.endNanos() - answer.dueNanos()));
            }
            if (answer.body().contains("-" + STOPPED + "\"")) {
                lastNanos = Math.max(lastNanos, answer.endNanos());
            }
        }
        long failed = count(run, answer -> !answer.ok());
        long unknown = count(run, answer -> !answer.ok() && answer.outcome().equals("unknown"));
        long notRun = count(run, answer -> !answer.ok() && answer.outcome().equals("not-run"));
        System.out.printf(
                Locale.ROOT,
                "case=%s round=%d sent=%d failed=%d unknown=%d not_run=%d untyped=%d"
                        + " failed_before_signal=%d download_complete=%s last_request_ms=%d exit_ms=%d p50_ms=%.1f"
                        + " p99_ms=%.1f%n",
                kind.name().toLowerCase(Locale.ROOT),
                round,
                run.answers().size(),
                failed,
                unknown,
                notRun,
                failed - unknown - notRun,
                count(run, answer -> !answer.ok() && answer.endNanos() < run.signalNanos()),
                run.downloadComplete(),
                TimeUnit.NANOSECONDS.toMillis(lastNanos - run.signalNanos()),
                run.exitMillis(),
                micros.getValueAtPercentile(50) / 1_000.0,
                micros.getValueAtPercentile(99) / 1_000.0);
    }

    private static long count(Run run, Predicate<OpenLoopLoad.Answer> condition) {
        return run.answers().stream().filter(condition).count();
    }
}
