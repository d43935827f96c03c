package org.azureshed.node;

import com.codahale.metrics.health.HealthCheck;
import jakarta.inject.Inject;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.Snapshot;

/** Healthy while the node has a preset in force and is not stopping. */
final class NodeHealthCheck extends HealthCheck {
    private final ControlLoop control;

    @Inject
    NodeHealthCheck(ControlLoop control) {
        this.control = control;
    }

    @Override
    protected Result check() {
        Snapshot snapshot = control.snapshot();
        if (snapshot.self().draining()) {
            return Result.unhealthy("the node is stopping; send requests to another node");
        }
        if (snapshot.active().isEmpty()) {
            return Result.unhealthy(
                    "no preset is in force; put one in force with azureshed preset use");
        }
        return Result.healthy("activation " + snapshot.active().get().number());
    }
}
