package org.azureshed.standin;

import java.net.URI;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.VirtualThreadPool;

/**
 * Test double of the platform's object API, in memory and on loopback only.
 *
 * <pre>{@code
 * try (PlatformStandIn platform = new PlatformStandIn(0)) {
 *     platform.start();
 *     ObjectStore store = new HttpObjectStore(platform.uri());
 * }
 * }</pre>
 *
 * <p>Every response has the header {@code Platform-Time-Millis}. Responses about a single object,
 * including those with status 409, have {@code Platform-Version}; 0 means that the object does not
 * exist.
 *
 * <ul>
 *   <li>{@code GET|PUT|DELETE /objects/{kind}/{name}} with {@code ?ifVersion=N} for writes
 *   <li>{@code GET /objects/{kind}} lists the objects of a kind as JSON
 *   <li>{@code GET /watch/{kind}?since=V&timeoutMs=T} waits for changes after version V; 410 if V
 *       is too old, or newer than the store
 *   <li>{@code POST /faults} injects faults, as JSON with any of {@code outage} (none, close,
 *       unavailable), {@code slowMillis}, {@code loseAnswers}, {@code dropWatches}, {@code
 *       staleWatches}, {@code writesPerSecond}, {@code readsPerSecond}, {@code snapshot}, {@code
 *       restore}
 *   <li>{@code GET /stats} or {@code GET /stats/{kind}} returns the number of calls since the start
 * </ul>
 */
public final class PlatformStandIn implements AutoCloseable {
    private static final String LOOPBACK = "127.0.0.1";

    private final Server server;
    private final ServerConnector connector;

    /**
     * Creates a stand-in that does not listen until {@link #start} is called.
     *
     * @param port TCP port on loopback, or 0 to let the system choose
     */
    public PlatformStandIn(int port) {
        VirtualThreadPool threads = new VirtualThreadPool();
        // Each waiting watch holds a thread, so the number of threads is not limited.
        threads.setMaxThreads(0);
        server = new Server(threads);
        connector = new ServerConnector(server, 1, 1);
        connector.setHost(LOOPBACK);
        connector.setPort(port);
        server.addConnector(connector);
        server.setHandler(new StandInHandler());
    }

    /**
     * Opens the listener.
     *
     * @throws IllegalStateException if the port cannot be opened
     */
    public void start() {
        try {
            server.start();
        } catch (Exception e) {
            throw new IllegalStateException(
                    "the platform stand-in cannot listen on port "
                            + connector.getPort()
                            + "; choose another port",
                    e);
        }
    }

    /**
     * The port that the stand-in listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return connector.getLocalPort();
    }

    /**
     * The address that clients connect to.
     *
     * @return the base URI
     */
    public URI uri() {
        return URI.create("http://" + LOOPBACK + ":" + port());
    }

    @Override
    public void close() {
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("the platform stand-in did not stop", e);
        }
    }
}
