package org.azureshed.standin;

import java.net.InetSocketAddress;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.azureshed.telemetry.EventLog;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.eclipse.jetty.util.thread.VirtualThreadPool;

/**
 * Stand-in for an instance of a service. It announces itself to the node on its VM and answers with
 * what the path asks for.
 *
 * <pre>{@code
 * SampleTarget target = new SampleTarget(settings);
 * target.start();
 * ...
 * target.stop(); // announces that it drains, finishes its requests, withdraws
 * }</pre>
 */
public final class SampleTarget {
    private static final int THREADS = 6;

    private final Settings settings;
    private final Server server;
    private final ServerConnector connector;
    private final SampleTargetHandler handler;
    private final TargetAnnouncer announcer;

    /**
     * Settings of a sample target.
     *
     * @param id id of the target, unique in the fleet
     * @param service service that it is an instance of
     * @param address IP number to listen on
     * @param port port to listen on; 0 for any
     * @param slots requests that it runs at the same time; more are shed
     * @param workMillis time that it takes for a request, in milliseconds
     * @param startMillis time from its start until it is ready, in milliseconds
     * @param admin base URL of the node's admin listener
     */
    public record Settings(
            String id,
            String service,
            String address,
            int port,
            int slots,
            long workMillis,
            long startMillis,
            URI admin) {}

    /**
     * Creates a target that is not running yet.
     *
     * @param settings its settings
     */
    public SampleTarget(Settings settings) {
        this.settings = settings;
        QueuedThreadPool threads = new QueuedThreadPool(THREADS, THREADS);
        threads.setVirtualThreadsExecutor(new VirtualThreadPool());
        this.server = new Server(threads);
        HttpConfiguration http = new HttpConfiguration();
        http.setSendServerVersion(false);
        this.connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
        connector.setHost(settings.address());
        connector.setPort(settings.port());
        server.addConnector(connector);
        this.handler =
                new SampleTargetHandler(settings.id(), settings.slots(), settings.workMillis());
        server.setHandler(handler);
        this.announcer = new TargetAnnouncer(settings);
    }

    /**
     * Opens the listener and starts to announce the target.
     *
     * @throws Exception if the port cannot be opened
     */
    public void start() throws Exception {
        server.start();
        announcer.start(new InetSocketAddress(settings.address(), connector.getLocalPort()));
        EventLog.info("target_started")
                .with("target", settings.id())
                .with("service", settings.service())
                .with("port", connector.getLocalPort())
                .write();
    }

    /**
     * The port that it listens on.
     *
     * @return a TCP port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /**
     * Drains the target, waits until its requests are finished, and closes the listener.
     *
     * @throws Exception if the server does not stop
     */
    public void stop() throws Exception {
        announcer.drain();
        // Requests that the node sent before it heard of the draining are still arriving.
        TimeUnit.MILLISECONDS.sleep(TargetAnnouncer.PERIOD_MILLIS);
        handler.awaitIdle();
        announcer.withdraw();
        server.stop();
    }
}
