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
 * Sample instance of a service, for tests and trials. It announces itself to the node on its VM.
 * The query parameters of a request choose the response.
 *
 * <pre>{@code
 * SampleTarget target = new SampleTarget(settings);
 * target.start();
 * ...
 * target.stop(); // announces the drain, completes in-flight requests, withdraws
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
     * @param id identifier of the target, unique in the fleet
     * @param service name of the service of which the target is an instance
     * @param address IP address to listen on
     * @param port TCP port to listen on; 0 to let the system choose
     * @param slots maximum number of concurrent requests; requests beyond it are shed
     * @param workMillis default processing time of a request, in milliseconds
     * @param startMillis time from the start until the target is ready, in milliseconds
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
     * @param settings settings of the target
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
     * The port that the target listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /**
     * Drains the target, waits for its in-flight requests, and closes the listener.
     *
     * @throws Exception if the server does not stop
     */
    public void stop() throws Exception {
        announcer.drain();
        // Requests that the node sent before it processed the announcement may still arrive.
        TimeUnit.MILLISECONDS.sleep(TargetAnnouncer.PERIOD_MILLIS);
        handler.awaitIdle();
        announcer.withdraw();
        server.stop();
    }
}
