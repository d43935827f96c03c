package org.azureshed.sidecar;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.azureshed.directory.Condition;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.traffic.TrafficEvents;

/** Counts and logs the decisions of the traffic path. */
final class SidecarMetrics implements TrafficEvents {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    /** Upper bounds in seconds, from a local answer to the longest deadline. */
    private static final double[] BUCKETS = {
        0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 20
    };

    /**
     * Organisations with counters of their own; bounds the memory and the size of the metrics page.
     */
    private static final int MAX_ORGANISATIONS = 200;

    /** Label of all further organisations. */
    private static final String OTHER_ORGANISATIONS = "(other)";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final DecisionLog log;
    private final Counter entryOutcomes;
    private final Counter organisationOutcomes;
    private final Counter hostOutcomes;
    private final Counter anomalies;
    private final Counter unexpectedErrors;
    private final Counter storeCalls;
    private final Counter unusableEntries;
    private final Counter conditionChanges;
    private final Histogram entrySeconds;
    private final Histogram hostSeconds;
    private final Gauge droppedLines;
    private final Gauge bodyMemory;
    private final Gauge configurationVersion;
    private final Gauge storeAge;
    private final Set<String> organisations = new HashSet<>();
    private final Map<String, LongSupplier> bodyMemorySides = new TreeMap<>();
    private LongSupplier activeVersion = () -> 0;
    private LongSupplier storeAgeMillis = () -> -1;

    SidecarMetrics(DecisionLog log) {
        this.log = log;
        this.entryOutcomes =
                counter(
                        "azureshed_entry_requests",
                        "Requests of callers by outcome or refusal reason",
                        "outcome");
        this.organisationOutcomes =
                Counter.builder()
                        .name("azureshed_organisation_requests")
                        .help("Requests of callers by organisation and outcome or refusal reason")
                        .labelNames("organisation", "outcome")
                        .register(registry);
        this.hostOutcomes =
                counter(
                        "azureshed_host_requests",
                        "Requests offered to the local target by outcome or refusal reason",
                        "outcome");
        this.anomalies =
                counter(
                        "azureshed_attempt_anomalies",
                        "Answers and offers that were passed over, by cause",
                        "cause");
        this.conditionChanges =
                counter(
                        "azureshed_target_judgements",
                        "Changes of the judgement of the local target by new condition",
                        "condition");
        this.unexpectedErrors =
                counter(
                        "azureshed_unexpected_errors",
                        "Exceptions that ended one request, message or task, by place",
                        "where");
        this.storeCalls =
                counter("azureshed_store_calls", "Calls of the store by result", "result");
        this.unusableEntries =
                counter(
                        "azureshed_unusable_entries",
                        "Entries of other writers that were left out, by kind",
                        "kind");
        this.entrySeconds =
                histogram(
                        "azureshed_entry_request_seconds",
                        "Time from a request's arrival to its final answer, in seconds");
        this.hostSeconds =
                histogram(
                        "azureshed_host_request_seconds",
                        "Time from an offer's arrival to its end, in seconds");
        this.bodyMemory =
                Gauge.builder()
                        .name("azureshed_body_memory_bytes")
                        .help("Memory held for the bodies of requests, in bytes, by side")
                        .labelNames("side")
                        .register(registry);
        this.configurationVersion =
                Gauge.builder()
                        .name("azureshed_configuration_version")
                        .help("Version of the active configuration; 0 if there is none")
                        .register(registry);
        this.storeAge =
                Gauge.builder()
                        .name("azureshed_configuration_confirmed_age_seconds")
                        .help(
                                "Time since the store last said which configuration is the newest,"
                                        + " in seconds; negative if it has not said so yet")
                        .register(registry);
        this.droppedLines =
                Gauge.builder()
                        .name("azureshed_log_lines_dropped")
                        .help("Log lines dropped since the start")
                        .register(registry);
    }

    /** Adds a side of the node whose held body bytes are exposed. */
    void observeBodyMemory(String side, LongSupplier bytes) {
        bodyMemorySides.put(side, bytes);
    }

    /** Exposes the version of the active configuration and the age of its confirmation. */
    void observeConfiguration(LongSupplier version, LongSupplier ageMillis) {
        activeVersion = version;
        storeAgeMillis = ageMillis;
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
        log.write("request", prependOutcome(outcome, nanos, pairs));
    }

    @Override
    public void organisationRequestFinished(String organisation, String outcome) {
        String label = OTHER_ORGANISATIONS;
        if (organisations.contains(organisation) || organisations.size() < MAX_ORGANISATIONS) {
            organisations.add(organisation);
            label = organisation;
        }
        organisationOutcomes.labelValues(label, outcome).inc();
    }

    @Override
    public void hostFinished(String outcome, long nanos, Object... pairs) {
        hostOutcomes.labelValues(outcome).inc();
        hostSeconds.labelValues(outcome).observe(nanos / NANOS_PER_SECOND);
        log.write("offer", prependOutcome(outcome, nanos, pairs));
    }

    @Override
    public void offerRefused(String outcome, long nanos, Object... pairs) {
        hostOutcomes.labelValues(outcome).inc();
        hostSeconds.labelValues(outcome).observe(nanos / NANOS_PER_SECOND);
        log.writeMinor("offer", prependOutcome(outcome, nanos, pairs));
    }

    @Override
    public void targetConditionChanged(String target, Condition condition, Object... pairs) {
        conditionChanges.labelValues(condition.name()).inc();
        Object[] logPairs = new Object[pairs.length + 4];
        logPairs[0] = "target";
        logPairs[1] = target;
        logPairs[2] = "condition";
        logPairs[3] = condition;
        System.arraycopy(pairs, 0, logPairs, 4, pairs.length);
        log.write("target_judged", logPairs);
    }

    @Override
    public void anomaly(String cause, Object... pairs) {
        anomalies.labelValues(cause).inc();
        log.write(cause, pairs);
    }

    @Override
    public void unexpected(String where, Throwable error) {
        unexpectedErrors.labelValues(where).inc();
        StackTraceElement[] trace = error.getStackTrace();
        log.write(
                "unexpected_error",
                "where",
                where,
                "cause",
                error,
                "at",
                trace.length == 0 ? "" : trace[0]);
    }

    void unusableEntry(String kind) {
        unusableEntries.labelValues(kind).inc();
    }

    void storeCall(String result) {
        storeCalls.labelValues(result).inc();
    }

    private static Object[] prependOutcome(String outcome, long nanos, Object... pairs) {
        Object[] logPairs = new Object[pairs.length + 4];
        logPairs[0] = "outcome";
        logPairs[1] = outcome;
        logPairs[2] = "ms";
        logPairs[3] = TimeUnit.NANOSECONDS.toMillis(nanos);
        System.arraycopy(pairs, 0, logPairs, 4, pairs.length);
        return logPairs;
    }

    byte[] exposition() throws IOException {
        droppedLines.set(log.droppedLines());
        bodyMemorySides.forEach(
                (side, bytes) -> bodyMemory.labelValues(side).set(bytes.getAsLong()));
        configurationVersion.set(activeVersion.getAsLong());
        storeAge.set(storeAgeMillis.getAsLong() / MILLIS_PER_SECOND);
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrometheusTextFormatWriter.create().write(out, registry.scrape());
        return out.toByteArray();
    }
}
