package org.azureshed.telemetry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.RetryReason;
import org.azureshed.model.UnknownCause;

/** Prometheus metrics of a node's requests, path probes and active preset. */
@Singleton
public final class FleetMetrics {
    private final Counter completed;
    private final Counter refusals;
    private final Counter unknown;
    private final Counter retries;
    private final Counter pathProbes;
    private final Histogram duration;
    private final Gauge activation;

    /**
     * Registers all metrics and initialises every known label value to zero, so that rates can be
     * computed from the start.
     *
     * @param registry receives the metrics
     */
    @Inject
    public FleetMetrics(PrometheusRegistry registry) {
        completed =
                Counter.builder()
                        .name("azureshed_requests_completed_total")
                        .help("Requests whose answer was received, by side and status class.")
                        .labelNames("side", "status_class")
                        .register(registry);
        refusals =
                Counter.builder()
                        .name("azureshed_requests_refused_total")
                        .help("Requests refused as not run, by side and reason.")
                        .labelNames("side", "reason")
                        .register(registry);
        unknown =
                Counter.builder()
                        .name("azureshed_requests_unknown_total")
                        .help("Requests of unknown outcome, by side and cause.")
                        .labelNames("side", "cause")
                        .register(registry);
        retries =
                Counter.builder()
                        .name("azureshed_retries_total")
                        .help("Attempts after the first, by reason.")
                        .labelNames("reason")
                        .register(registry);
        pathProbes =
                Counter.builder()
                        .name("azureshed_path_probes_total")
                        .help("Probes of paths to other nodes, by result.")
                        .labelNames("result")
                        .register(registry);
        duration =
                Histogram.builder()
                        .name("azureshed_request_duration_seconds")
                        .help("Time from accepting a request to the end of its answer.")
                        .labelNames("side")
                        .register(registry);
        activation =
                Gauge.builder()
                        .name("azureshed_activation_number")
                        .help("Activation number of the preset in force on this node.")
                        .register(registry);
        for (Side side : Side.values()) {
            for (RefusalReason reason : RefusalReason.values()) {
                refusals.initLabelValues(side.label(), reason.label());
            }
            for (UnknownCause cause : UnknownCause.values()) {
                unknown.initLabelValues(side.label(), cause.label());
            }
        }
        for (RetryReason reason : RetryReason.values()) {
            retries.initLabelValues(reason.label());
        }
        pathProbes.initLabelValues("answered");
        pathProbes.initLabelValues("silent");
    }

    /** The two sides of a node. */
    public enum Side {
        /** Takes callers' requests. */
        ENTRY,
        /** Passes requests to the targets of its VM. */
        HOST;

        private String label() {
            return name().toLowerCase(java.util.Locale.ROOT);
        }
    }

    /**
     * Counts a received answer.
     *
     * @param side side of the node
     * @param status HTTP status
     */
    public void completed(Side side, int status) {
        completed.labelValues(side.label(), status / 100 + "xx").inc();
    }

    /**
     * Counts a refusal.
     *
     * @param side side of the node
     * @param reason reason of the refusal
     */
    public void refused(Side side, RefusalReason reason) {
        refusals.labelValues(side.label(), reason.label()).inc();
    }

    /**
     * Counts an unknown outcome.
     *
     * @param side side of the node
     * @param cause failure that left the outcome unknown
     */
    public void unknown(Side side, UnknownCause cause) {
        unknown.labelValues(side.label(), cause.label()).inc();
    }

    /**
     * Counts an attempt after the first.
     *
     * @param reason reason of the retry
     */
    public void retried(RetryReason reason) {
        retries.labelValues(reason.label()).inc();
    }

    /**
     * Counts a probe of the path to another node.
     *
     * @param answered whether the probed node answered in time
     */
    public void pathProbed(boolean answered) {
        pathProbes.labelValues(answered ? "answered" : "silent").inc();
    }

    /**
     * Records how long a request took.
     *
     * @param side side of the node
     * @param nanos duration in nanoseconds
     */
    public void observeDuration(Side side, long nanos) {
        duration.labelValues(side.label()).observe(nanos / 1e9);
    }

    /**
     * Sets the activation number of the active preset.
     *
     * @param number activation number of the preset that this node uses
     */
    public void activation(long number) {
        activation.set(number);
    }
}
