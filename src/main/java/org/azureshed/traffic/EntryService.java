package org.azureshed.traffic;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.azureshed.directory.Directory;
import org.azureshed.directory.NodeEntry;
import org.azureshed.dispatch.CallerAccount;
import org.azureshed.dispatch.CallerBounds;
import org.azureshed.dispatch.FollowUpDetector;
import org.azureshed.dispatch.ForwardRoute;
import org.azureshed.dispatch.PathBackoff;
import org.azureshed.dispatch.ServiceSplit;
import org.azureshed.dispatch.StopSchedule;
import org.azureshed.dispatch.SuspectRequests;
import org.azureshed.dispatch.TargetHints;
import org.azureshed.dispatch.TargetOrder;
import org.azureshed.dispatch.TrafficConfiguration;

/**
 * State and collaborators that all requests at a node's entry side share. Runs on one event loop.
 */
public final class EntryService {
    /** Applies until a configuration is loaded. */
    private static final TrafficConfiguration.CallerLimits DEFAULT_LIMITS =
            new TrafficConfiguration.CallerLimits(16 << 10, 8 << 20, 3_000, 15_000);

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
    private final BooleanSupplier localTargetRunsRetry;
    private final BooleanSupplier targetCallPossible;
    private final QuotaGate quotas;
    private final BodyMemory bodyMemory;
    private final LongSupplier configurationAgeMillis;
    private final TrafficEvents events;
    private Optional<TrafficConfiguration> configuration = Optional.empty();
    private final CallerConnections connections;
    private Optional<StopSchedule> stop = Optional.empty();
    private int active;

    /**
     * Creates the entry side.
     *
     * @param loop event loop of all connections
     * @param directory known nodes and their targets
     * @param suspects requests that were running when targets crashed
     * @param nodeConnections connections to the host sides of nodes
     * @param availabilityZone the node's availability zone
     * @param names headers that callers and targets use
     * @param localService name of the service beside this node
     * @param localTargetRunsRetry whether the target beside this node is running a retry
     * @param targetCallPossible whether a request that arrives now may be a call of that target
     * @param place place of this node among those of its availability zone, from 0 to less than 1
     * @param random source of the random order of targets and the jitter of retry times
     * @param quotas applies the limits of organisations
     * @param bodyMemory memory for the bodies of requests
     * @param callerBounds bounds on what the connections of callers hold
     * @param configurationAgeMillis time in milliseconds since the active configuration was last
     *     confirmed to be the newest; negative if it has not been confirmed yet
     * @param events receives the outcomes
     */
    public EntryService(
            EventLoop loop,
            Directory directory,
            SuspectRequests suspects,
            ConnectionPool nodeConnections,
            String availabilityZone,
            HeaderNames names,
            Supplier<String> localService,
            BooleanSupplier localTargetRunsRetry,
            BooleanSupplier targetCallPossible,
            DoubleSupplier place,
            SplittableRandom random,
            QuotaGate quotas,
            BodyMemory bodyMemory,
            CallerBounds callerBounds,
            LongSupplier configurationAgeMillis,
            TrafficEvents events) {
        this.loop = loop;
        this.directory = directory;
        this.suspects = suspects;
        this.nodeConnections = nodeConnections;
        this.order = new TargetOrder(availabilityZone, paths, hints, random.split(), place);
        this.split = new ServiceSplit(random.nextDouble());
        this.random = random;
        this.names = names;
        this.localService = localService;
        this.localTargetRunsRetry = localTargetRunsRetry;
        this.targetCallPossible = targetCallPossible;
        this.quotas = quotas;
        this.bodyMemory = bodyMemory;
        this.connections =
                new CallerConnections(
                        new CallerAccount<>(callerBounds.heapBytes(), callerBounds.connections()));
        this.configurationAgeMillis = configurationAgeMillis;
        this.events = events;
    }

    /**
     * Replaces the active configuration.
     *
     * @param next applies to requests that arrive from now on
     */
    public void configure(TrafficConfiguration next) {
        configuration = Optional.of(next);
    }

    /**
     * Whether some request may be meant for a service.
     *
     * @param service name of the service
     * @return true if it is the local one, a route leads to it, or no configuration is loaded
     */
    public boolean knowsService(String service) {
        return service.equals(localService.get())
                || configuration.map(loaded -> loaded.services().contains(service)).orElse(true);
    }

    /**
     * Closes the connections without a request, so that no new request is read and then aborted.
     */
    public void closeIdle() {
        connections.forEach(EntryHandler::closeIfIdle);
    }

    /** Ends the in-flight requests with an error or a refusal, because the process exits. */
    public void endRequests() {
        connections.forEach(EntryHandler::endRequest);
    }

    /**
     * Starts closing connections: each gets {@code Connection: close} with its next answer.
     *
     * @param schedule decides which requests are still sent to targets
     */
    public void stop(StopSchedule schedule) {
        stop = Optional.of(schedule);
    }

    /** Refuses the requests that wait for a target and that the stop leaves no time for. */
    public void refuseWaiting() {
        connections.forEach(EntryHandler::refuseIfWaiting);
    }

    /**
     * Returns the number of in-flight requests.
     *
     * @return 0 when the entry side is idle
     */
    public int activeCount() {
        return active;
    }

    /**
     * Returns the number of open connections from callers.
     *
     * @return idle connections and those with a request
     */
    public int connectionCount() {
        return connections.count();
    }

    boolean stopping() {
        return stop.isPresent();
    }

    /** Whether a request that no target has received yet may be sent to one. */
    boolean mayStart(long arrivalNanos, long deadlineNanos) {
        return stop.map(plan -> plan.mayStart(arrivalNanos, deadlineNanos, System.nanoTime()))
                .orElse(true);
    }

    Optional<TrafficConfiguration> configuration() {
        return configuration;
    }

    /** Limits of callers in force; those that apply until a configuration is loaded before. */
    TrafficConfiguration.CallerLimits limits() {
        return configuration.map(TrafficConfiguration::limits).orElse(DEFAULT_LIMITS);
    }

    /** Largest size in bytes of a request line, and of all headers of a request together. */
    int maxHeadBytes() {
        return Math.min(limits().maxHeaderBytes(), RequestDecoder.MAX_HEAD_BYTES);
    }

    /** Milliseconds since the configuration was confirmed; negative if it has not been yet. */
    long configurationAgeMillis() {
        return configurationAgeMillis.getAsLong();
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

    boolean localTargetRunsRetry() {
        return localTargetRunsRetry.getAsBoolean();
    }

    boolean targetCallPossible() {
        return targetCallPossible.getAsBoolean();
    }

    QuotaGate quotas() {
        return quotas;
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

    /** Returns a random number from 0 to 1. */
    double randomFraction() {
        return random.nextDouble();
    }

    CallerConnections callers() {
        return connections;
    }

    void requestStarted() {
        active++;
    }

    void requestEnded() {
        active--;
    }

    BodyMemory bodyMemory() {
        return bodyMemory;
    }
}
