package org.azureshed.node;

import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Singleton;
import org.azureshed.admission.Admission;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.ControlReducer;
import org.azureshed.control.ControlState;
import org.azureshed.distribution.ContentStore;
import org.azureshed.ejection.HostMeter;
import org.azureshed.idempotency.KeyClaims;
import org.azureshed.idempotency.KeyTiming;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.model.NodeInfo;
import org.azureshed.platform.HttpObjectStore;
import org.azureshed.platform.ObjectStore;
import org.azureshed.poison.CrashWatch;
import org.azureshed.poison.Suspects;
import org.azureshed.proxy.HostListener;
import org.azureshed.routing.PathHealth;

/** Guice bindings of one node. */
final class NodeModule extends AbstractModule {
    private final NodeSettings settings;

    NodeModule(NodeSettings settings) {
        this.settings = settings;
    }

    @Override
    protected void configure() {
        bind(NodeSettings.class).toInstance(settings);
        bind(HostListener.class).toInstance(new HostListener(settings.hostPort()));
        bind(PrometheusRegistry.class).toInstance(new PrometheusRegistry());
    }

    @Provides
    @Singleton
    NodeInfo self() {
        return settings.initialInfo(System.currentTimeMillis());
    }

    @Provides
    @Singleton
    ObjectStore objectStore() {
        return new HttpObjectStore(settings.platform());
    }

    @Provides
    @Singleton
    ContentStore contentStore() {
        return new ContentStore();
    }

    @Provides
    @Singleton
    Admission admission() {
        return new Admission();
    }

    @Provides
    @Singleton
    HostMeter hostMeter() {
        return new HostMeter();
    }

    @Provides
    @Singleton
    PathHealth pathHealth() {
        return new PathHealth();
    }

    @Provides
    @Singleton
    Suspects suspects() {
        return new Suspects();
    }

    @Provides
    @Singleton
    CrashWatch crashWatch(NodeInfo self) {
        return new CrashWatch(self.id(), self.incarnation());
    }

    @Provides
    @Singleton
    KeyClaims keyClaims(NodeInfo self, NodeShell shell) {
        NodeInstance instance = new NodeInstance(self.id(), self.incarnation());
        return new KeyClaims(instance, shell.keys(), KeyTiming.STANDARD);
    }

    @Provides
    @Singleton
    ControlLoop controlLoop(NodeInfo self, NodeShell shell) {
        return new ControlLoop(
                new ControlReducer(settings.seeds()), ControlState.initial(self), shell::carryOut);
    }
}
