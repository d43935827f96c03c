package org.azureshed.node;

import com.google.inject.Guice;
import com.google.inject.Injector;
import io.dropwizard.core.Application;
import io.dropwizard.core.setup.Bootstrap;
import io.dropwizard.core.setup.Environment;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayInputStream;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.control.Snapshot;
import org.azureshed.model.NodeInfo;
import org.azureshed.poison.PoisonView;
import org.azureshed.poison.Suspects;
import org.azureshed.proxy.TrafficServlet;
import org.azureshed.telemetry.EventLog;
import org.eclipse.jetty.server.Server;
import org.glassfish.jersey.server.ResourceConfig;
import org.glassfish.jersey.servlet.ServletContainer;

/**
 * One node of the fleet as a Dropwizard application.
 *
 * <pre>{@code
 * new NodeApplication(settings).run();
 * }</pre>
 */
public final class NodeApplication extends Application<NodeConfiguration> implements AutoCloseable {
    private final NodeSettings settings;
    private volatile Server server;
    private volatile ControlLoop control;
    private volatile NodeShell shell;
    private volatile Suspects suspects;

    /**
     * Creates a node that is not running yet.
     *
     * @param settings settings of the node
     */
    public NodeApplication(NodeSettings settings) {
        this.settings = settings;
    }

    /**
     * Starts the node and returns when its listeners are open.
     *
     * @throws Exception if a listener cannot be opened
     */
    public void run() throws Exception {
        run("server", "generated");
    }

    @Override
    public String getName() {
        return "azureshed";
    }

    @Override
    public void initialize(Bootstrap<NodeConfiguration> bootstrap) {
        byte[] configuration = ServerConfiguration.json(settings);
        bootstrap.setConfigurationSourceProvider(path -> new ByteArrayInputStream(configuration));
    }

    @Override
    public void run(NodeConfiguration configuration, Environment environment) {
        Injector injector = Guice.createInjector(new NodeModule(settings));
        environment.jersey().disable();
        environment
                .servlets()
                .addServlet("traffic", injector.getInstance(TrafficServlet.class))
                .addMapping("/*");
        ResourceConfig api =
                new ResourceConfig().register(injector.getInstance(AdminResource.class));
        injector.getInstance(StateMetrics.class)
                .register(injector.getInstance(PrometheusRegistry.class));
        environment.admin().addServlet("api", new ServletContainer(api)).addMapping("/v1/*");
        environment
                .admin()
                .addServlet("prometheus", injector.getInstance(MetricsServlet.class))
                .addMapping("/metrics");
        environment.healthChecks().register("node", injector.getInstance(NodeHealthCheck.class));
        NodeShutdown shutdown = injector.getInstance(NodeShutdown.class);
        JsonErrorHandler errors = injector.getInstance(JsonErrorHandler.class);
        environment
                .lifecycle()
                .addServerLifecycleListener(
                        started -> {
                            started.setErrorHandler(errors);
                            server = started;
                        });
        environment.lifecycle().addServerLifecycleListener(shutdown::install);
        control = injector.getInstance(ControlLoop.class);
        control.start();
        suspects = injector.getInstance(Suspects.class);
        shell = injector.getInstance(NodeShell.class);
        shell.start(settings.controlListener());
        logStart(injector.getInstance(NodeInfo.class));
    }

    NodeSettings settings() {
        return settings;
    }

    PoisonView suspects() {
        return suspects.view();
    }

    Snapshot snapshot() {
        return control.snapshot();
    }

    void announce(TargetAnnouncement announcement) {
        control.submit(new ControlEvent.TargetAnnounced(announcement.toTarget()));
    }

    /**
     * Closes the listeners immediately, without the graceful shutdown of {@link NodeShutdown}.
     *
     * @throws IllegalStateException if the server does not stop
     */
    @Override
    public void close() {
        shell.stop();
        control.stop();
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("could not stop the HTTP server", e);
        }
    }

    private void logStart(NodeInfo self) {
        EventLog.info("node_started")
                .with("node", self.id())
                .with("zone", self.availabilityZone())
                .with("entry", self.entry())
                .with("host", self.host())
                .with("admin", settings.adminAddress() + ":" + settings.adminPort())
                .write();
    }
}
