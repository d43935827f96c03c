package org.azureshed.node;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.azureshed.admission.Admission;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.proxy.ActiveRequests;
import org.azureshed.telemetry.EventLog;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.Server;

/**
 * Stops a node gracefully, without aborting requests in flight.
 *
 * <ol>
 *   <li>The node is published as draining; other nodes stop choosing its targets.
 *   <li>After {@link #DRAIN_NOTICE_MILLIS} its host side refuses new requests as not run, and its
 *       listeners accept no more connections, so that callers connect to another node.
 *   <li>Requests in flight finish; there is no time limit.
 *   <li>The listeners close and the node's record is removed from the platform.
 * </ol>
 */
@Singleton
final class NodeShutdown {
    /** Time for other nodes and callers to learn that this node is stopping. */
    static final long DRAIN_NOTICE_MILLIS = 3_000;

    private static final long PROGRESS_LOG_MILLIS = 10_000;

    /**
     * Time to flush answers that the servlet has completed but the server still buffers, and to
     * send the gossip message that the node is leaving.
     */
    private static final long FLUSH_MILLIS = 300;

    private final ControlLoop control;
    private final Admission admission;
    private final ActiveRequests requests;
    private final SelfPublisher publisher;

    @Inject
    NodeShutdown(
            ControlLoop control,
            Admission admission,
            ActiveRequests requests,
            SelfPublisher publisher) {
        this.control = control;
        this.admission = admission;
        this.requests = requests;
        this.publisher = publisher;
    }

    /**
     * Installs the shutdown hook. The server's own hook, which has a fixed time limit, is disabled.
     *
     * @param server the server that runs all listeners
     */
    void install(Server server) {
        server.setStopAtShutdown(false);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(server), "shutdown"));
    }

    private void stop(Server server) {
        try {
            EventLog.info("node_stopping").with("requests", requests.count()).write();
            control.submit(new ControlEvent.StopRequested());
            TimeUnit.MILLISECONDS.sleep(DRAIN_NOTICE_MILLIS);
            admission.drain(System.nanoTime());
            closeAcceptors(server);
            while (!requests.awaitIdle(PROGRESS_LOG_MILLIS)) {
                EventLog.info("node_waiting").with("requests", requests.count()).write();
            }
            control.submit(new ControlEvent.Membership(new MembershipEvent.SelfLeaving()));
            TimeUnit.MILLISECONDS.sleep(FLUSH_MILLIS);
            publisher.withdraw();
            server.stop();
            EventLog.info("node_stopped").write();
        } catch (Exception e) {
            EventLog.warning("node_stop_failed").with("error", e).write();
        }
    }

    /** Closes the listening sockets for callers and nodes; established connections stay open. */
    private static void closeAcceptors(Server server) {
        List<Future<Void>> closing =
                Arrays.stream(server.getConnectors())
                        .filter(connector -> !"admin".equals(connector.getName()))
                        .map(Connector::shutdown)
                        .map(future -> (Future<Void>) future)
                        .toList();
        EventLog.info("listeners_closed").with("count", closing.size()).write();
    }
}
