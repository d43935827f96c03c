package org.azureshed.sidecar;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.azureshed.directory.Condition;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.traffic.TrafficEvents;

/** Counts and logs what the traffic path decided. */
final class SidecarMetrics implements TrafficEvents {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    /** From a local answer to the longest deadline, in seconds. */
    private static final double[] BUCKETS = {
        0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final DecisionLog log;
    private final Counter entryOutcomes;
    private final Counter hostOutcomes;
    private final Counter attempts;
    private final Counter storeCalls;
    private final Counter conditions;
    private final Histogram entrySeconds;
    private final Histogram hostSeconds;
    private final Gauge droppedLines;

    SidecarMetrics(DecisionLog log) {
        this.log = log;
        this.entryOutcomes =
                counter(
                        "azureshed_entry_requests",
                        "Requests of callers by outcome or refusal reason",
                        "outcome");
        this.hostOutcomes =
                counter(
                        "azureshed_host_requests",
                        "Requests offered to the local target by outcome or refusal reason",
                        "outcome");
        this.attempts =
                counter(
                        "azureshed_attempt_anomalies",
                        "Answers and offers that were passed over, by cause",
                        "cause");
        this.conditions =
                counter(
                        "azureshed_target_judgements",
                        "Changes of the judgement of the local target by new condition",
                        "condition");
        this.storeCalls =
                counter("azureshed_store_calls", "Calls of the store by result", "result");
        this.entrySeconds =
                histogram(
                        "azureshed_entry_request_seconds",
                        "Time from a request's arrival to its final answer, in seconds");
        this.hostSeconds =
                histogram(
                        "azureshed_host_request_seconds",
                        "Time from an offer's arrival to its end, in seconds");
        this.droppedLines =
                Gauge.builder()
                        .name("azureshed_log_lines_dropped")
                        .help("Log lines dropped since the start")
                        .register(registry);
    }

    private Counter counter(String name, String help, String label) {
        return Counter.builder().name(name).help(help).labelNames(label).register(registry);
    }

    private Histogram histogram(String name, String help) {
        return Histogram.builder()
                .name(name)
                .help(help)
                .classicOnly()
                .classicUpperBounds(BUCKETS)
                .labelNames("outcome")
                .register(registry);
    }

    @Override
    public void entryFinished(String outcome, long nanos, Object... pairs) {
        entryOutcomes.labelValues(outcome).inc();
        entrySeconds.labelValues(outcome).observe(nanos / NANOS_PER_SECOND);
        log.write("request", line(outcome, nanos, pairs));
    }

    @Override
    public void hostFinished(String outcome, long nanos, Object... pairs) {
        hostOutcomes.labelValues(outcome).inc();
        hostSeconds.labelValues(outcome).observe(nanos / NANOS_PER_SECOND);
        log.write("offer", line(outcome, nanos, pairs));
    }

    @Override
    public void offerRefused(String outcome, long nanos, Object... pairs) {
        hostOutcomes.labelValues(outcome).inc();
        hostSeconds.labelValues(outcome).observe(nanos / NANOS_PER_SECOND);
        log.writeMinor("offer", line(outcome, nanos, pairs));
    }

    @Override
    public void targetJudged(String target, Condition condition, Object... pairs) {
        conditions.labelValues(condition.name()).inc();
        Object[] line = new Object[pairs.length + 4];
        line[0] = "target";
        line[1] = target;
        line[2] = "condition";
        line[3] = condition;
        System.arraycopy(pairs, 0, line, 4, pairs.length);
        log.write("target_judged", line);
    }

    @Override
    public void attemptEnded(String cause, Object... pairs) {
        attempts.labelValues(cause).inc();
        log.write(cause, pairs);
    }

    void storeCall(String result) {
        storeCalls.labelValues(result).inc();
    }

    private static Object[] line(String outcome, long nanos, Object... pairs) {
        Object[] line = new Object[pairs.length + 4];
        line[0] = "outcome";
        line[1] = outcome;
        line[2] = "ms";
        line[3] = TimeUnit.NANOSECONDS.toMillis(nanos);
        System.arraycopy(pairs, 0, line, 4, pairs.length);
        return line;
    }

    byte[] exposition() throws IOException {
        droppedLines.set(log.droppedLines());
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, registry.scrape());
        return out.toByteArray();
    }
}
