package org.azureshed.traffic;

import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.azureshed.directory.Directory;
import org.azureshed.directory.NodeEntry;
import org.azureshed.dispatch.FollowUpDetector;
import org.azureshed.dispatch.ForwardRoute;
import org.azureshed.dispatch.PathBackoff;
import org.azureshed.dispatch.ServiceSplit;
import org.azureshed.dispatch.SuspectRequests;
import org.azureshed.dispatch.TargetHints;
import org.azureshed.dispatch.TargetOrder;
import org.azureshed.dispatch.TrafficConfiguration;

/** What all requests at the entry side of a node share. Runs on one event loop. */
public final class EntryService {
    private final EventLoop loop;
    private final Directory directory;
    private final ConnectionPool nodeConnections;
    private final SuspectRequests suspects;
    private final PathBackoff paths = new PathBackoff();
    private final TargetHints hints = new TargetHints();
    private final FollowUpDetector followUps = new FollowUpDetector();
    private final TargetOrder order;
    private final ServiceSplit split;
    private final SplittableRandom random;
    private final HeaderNames names;
    private final Supplier<String> localService;
    private final BooleanSupplier localRepeat;
    private final TrafficEvents events;
    private Optional<TrafficConfiguration> configuration = Optional.empty();
    private final Set<EntryHandler> connections = new HashSet<>();
    private boolean stopping;
    private int active;
    private long bufferedBytes;

    /**
     * Creates the entry side.
     *
     * @param loop event loop of all connections
     * @param directory nodes and targets
     * @param suspects requests that crashed targets
     * @param nodeConnections connections to the host sides of nodes
     * @param availabilityZone the node's availability zone
     * @param names headers that callers and targets use
     * @param localService name of the service beside this node
     * @param localRepeat whether the target beside this node runs a repeated request
     * @param random source of random order
     * @param events hears the outcomes
     */
    public EntryService(
            EventLoop loop,
            Directory directory,
            SuspectRequests suspects,
            ConnectionPool nodeConnections,
            String availabilityZone,
            HeaderNames names,
            Supplier<String> localService,
            BooleanSupplier localRepeat,
            SplittableRandom random,
            TrafficEvents events) {
        this.loop = loop;
        this.directory = directory;
        this.suspects = suspects;
        this.nodeConnections = nodeConnections;
        this.order = new TargetOrder(availabilityZone, paths, hints, random.split());
        this.split = new ServiceSplit(random.nextDouble());
        this.random = random;
        this.names = names;
        this.localService = localService;
        this.localRepeat = localRepeat;
        this.events = events;
    }

    /**
     * Puts a configuration in force.
     *
     * @param next the configuration
     */
    public void configure(TrafficConfiguration next) {
        configuration = Optional.of(next);
    }

    /** Closes the connections that carry no request, so that none is read and then cut off. */
    public void closeIdle() {
        Set.copyOf(connections).forEach(EntryHandler::closeIfIdle);
    }

    /** Answers the requests under way, because the node ends. */
    public void endRequests() {
        Set.copyOf(connections).forEach(EntryHandler::endRequest);
    }

    /** Announces to callers on their next answer that their connection ends. */
    public void stop() {
        stopping = true;
    }

    /**
     * Requests under way.
     *
     * @return their number
     */
    public int activeCount() {
        return active;
    }

    /**
     * Open connections of callers.
     *
     * @return their number
     */
    public int connectionCount() {
        return connections.size();
    }

    boolean stopping() {
        return stopping;
    }

    Optional<TrafficConfiguration> configuration() {
        return configuration;
    }

    EventLoop loop() {
        return loop;
    }

    ConnectionPool nodeConnections() {
        return nodeConnections;
    }

    PathBackoff paths() {
        return paths;
    }

    TargetHints hints() {
        return hints;
    }

    FollowUpDetector followUps() {
        return followUps;
    }

    HeaderNames names() {
        return names;
    }

    TrafficEvents events() {
        return events;
    }

    SuspectRequests suspects() {
        return suspects;
    }

    boolean localRepeat() {
        return localRepeat.getAsBoolean();
    }

    String localService() {
        return localService.get();
    }

    String nextService(ForwardRoute route) {
        return split.next(route);
    }

    List<NodeEntry> candidates(String service, boolean repeatable) {
        return order.order(directory.usable(service), repeatable, System.nanoTime());
    }

    double spread() {
        return random.nextDouble();
    }

    void connected(EntryHandler connection) {
        connections.add(connection);
    }

    void disconnected(EntryHandler connection) {
        connections.remove(connection);
    }

    void requestStarted() {
        active++;
    }

    void requestEnded() {
        active--;
    }

    /** Counts bytes of buffered bodies; negative when they are released. */
    void buffered(long bytes) {
        bufferedBytes += bytes;
    }

    long bufferedBytes() {
        return bufferedBytes;
    }
}
