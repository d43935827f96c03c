package org.azureshed.node;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.azureshed.admission.Admission;
import org.azureshed.admission.LoadReport;
import org.azureshed.control.ControlLoop;
import org.azureshed.model.TargetInfo;
import org.azureshed.routing.PathHealth;

/** Gauges of the node's view of the fleet and of the load of its targets, read at each scrape. */
@Singleton
final class StateMetrics {
    private static final int FULL_WEIGHT_PERCENT = 100;

    private final ControlLoop control;
    private final PathHealth paths;
    private final Admission admission;

    @Inject
    StateMetrics(ControlLoop control, PathHealth paths, Admission admission) {
        this.control = control;
        this.paths = paths;
        this.admission = admission;
    }

    /**
     * Registers the gauges.
     *
     * @param registry registry that collects the gauges
     */
    void register(PrometheusRegistry registry) {
        gauge("azureshed_known_nodes", "Nodes that this node knows, itself included.")
                .callback(value -> value.call(control.snapshot().nodeCount()))
                .register(registry);
        gauge("azureshed_bad_paths", "Nodes that this entry side avoids.")
                .callback(value -> value.call(paths.badPaths().size()))
                .register(registry);
        gauge("azureshed_reduced_targets", "Targets ejected or in readmission.")
                .callback(value -> value.call(reducedTargets()))
                .register(registry);
        registerTargetGauge(
                registry, "in_flight", "Requests that hold a slot.", LoadReport::inFlight);
        registerTargetGauge(
                registry, "queued", "Requests that wait for a slot.", LoadReport::queued);
        registerTargetGauge(registry, "slots", "Announced slots.", LoadReport::slots);
    }

    private static GaugeWithCallback.Builder gauge(String name, String help) {
        return GaugeWithCallback.builder().name(name).help(help);
    }

    private void registerTargetGauge(
            PrometheusRegistry registry,
            String name,
            String help,
            ToDoubleFunction<LoadReport> value) {
        gauge("azureshed_hosted_target_" + name, help)
                .labelNames("service", "target")
                .callback(callback -> collect(callback, value))
                .register(registry);
    }

    private void collect(GaugeWithCallback.Callback callback, ToDoubleFunction<LoadReport> value) {
        long now = System.nanoTime();
        for (TargetInfo target : control.snapshot().self().targets()) {
            Optional<LoadReport> report = admission.report(target.id(), now);
            if (report.isPresent()) {
                double number = value.applyAsDouble(report.get());
                callback.call(number, target.service(), target.id().value());
            }
        }
    }

    private long reducedTargets() {
        return control.snapshot().weights().values().stream()
                .filter(weight -> weight < FULL_WEIGHT_PERCENT)
                .count();
    }
}
