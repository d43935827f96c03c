package org.azureshed.sidecar;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.azureshed.directory.Directory;
import org.azureshed.dispatch.CallerBounds;
import org.azureshed.dispatch.Organisation;
import org.azureshed.dispatch.PathBackoff;
import org.azureshed.dispatch.StopSchedule;
import org.azureshed.dispatch.SuspectRequests;
import org.azureshed.dispatch.TrafficConfiguration;
import org.azureshed.host.HostGate;
import org.azureshed.host.RetryBudgetShare;
import org.azureshed.quota.QuotaBounds;
import org.azureshed.quota.QuotaCoordinator;
import org.azureshed.quota.QuotaDecision;
import org.azureshed.quota.QuotaLimit;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.telemetry.UnusableEntries;
import org.azureshed.traffic.BodyMemory;
import org.azureshed.traffic.ConnectionPool;
import org.azureshed.traffic.ControlClient;
import org.azureshed.traffic.ControlEndpoint;
import org.azureshed.traffic.EntryService;
import org.azureshed.traffic.HeaderNames;
import org.azureshed.traffic.HostService;
import org.azureshed.traffic.TrafficServers;
import org.azureshed.watch.StoreEra;

/**
 * One node: entry side, host side and synchronisation with other nodes, on one event loop.
 *
 * <pre>{@code
 * SidecarNode node = new SidecarNode(settings, protocol, log);
 * node.start();
 * node.stop(); // returns when the in-flight requests have ended
 * }</pre>
 */
public final class SidecarNode implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final long NODE_IDLE_MILLIS = 30_000;
    private static final long TARGET_IDLE_MILLIS = 30_000;
    private static final long IDLE_CHECK_MILLIS = 1_000;

    /** Interval of checks for settings that were replaced without a signal. */
    private static final long SETTINGS_CHECK_MILLIS = 500;

    private static final long STOP_CHECK_MILLIS = 50;
    private static final long QUOTA_TICK_MILLIS = 250;

    private final SidecarSettings settings;
    private final PlatformProtocol protocol;
    private final DecisionLog log;
    private final NodeLoop nodeLoop = new NodeLoop();
    private final EventLoop loop = nodeLoop.loop();
    private final SidecarMetrics metrics;
    private final ConfigurationHolder configuration;
    private final ConnectionPool nodeConnections;
    private final ConnectionPool targetConnections;
    private final EntryService entry;
    private final HostService host;
    private final FleetSync fleet;
    private final LocalTarget target;
    private final ConfigurationWatch watch;
    private final StoreEra storeEra = new StoreEra();
    private final QuotaExchange quotaExchange;
    private final Optional<QuotaCoordinator> quotas;
    private volatile String localService;
    private Channel callerListener;
    private volatile boolean stopping;
    private volatile boolean accepting;

    /**
     * Platform-specific parts: header names, formats and calls.
     *
     * @param names headers that callers and targets use
     * @param store creates the store client from an HTTP client and a consumer that receives the
     *     kind of each result
     * @param configuration decodes a configuration; throws IllegalArgumentException if malformed
     * @param heartbeats creates the handler of heartbeats and departures of the local target
     * @param changedSettings reads the settings if they were replaced since they were last read
     */
    public record PlatformProtocol(
            HeaderNames names,
            BiFunction<ControlClient, Consumer<String>, FleetStore> store,
            Function<JsonNode, TrafficConfiguration> configuration,
            Function<TargetListener, ControlEndpoint> heartbeats,
            Supplier<Optional<SidecarSettings>> changedSettings) {}

    /**
     * Creates a node.
     *
     * @param settings settings of the process
     * @param protocol names, formats and calls of the platform
     * @param log receives decisions and lifecycle events; closed by {@link #stop} and {@link
     *     #close}
     */
    public SidecarNode(SidecarSettings settings, PlatformProtocol protocol, DecisionLog log) {
        this.settings = settings;
        this.protocol = protocol;
        this.log = log;
        this.localService = settings.service();
        long incarnation = System.currentTimeMillis();
        SplittableRandom random = random(incarnation);
        this.metrics = new SidecarMetrics(log);
        this.nodeConnections = connections(NODE_IDLE_MILLIS, List.of());
        this.targetConnections =
                connections(TARGET_IDLE_MILLIS, protocol.names().ofOneTargetAnswer());
        ControlClient client = new ControlClient(loop, nodeConnections, metrics);
        Directory directory = new Directory();
        NodeOrder order = new NodeOrder(directory, settings.node());
        SuspectRequests suspects = new SuspectRequests();
        HostGate gate = new HostGate(retryBudgetShare(), settings.queuePolicy(), System.nanoTime());
        this.entry =
                new EntryService(
                        loop,
                        directory,
                        suspects,
                        nodeConnections,
                        settings.availabilityZone(),
                        protocol.names(),
                        () -> localService,
                        gate::isRunningRetry,
                        () -> gate.targetCallPossible(System.nanoTime()),
                        () -> order.placeInZone(settings.availabilityZone()),
                        random.split(),
                        this::requestQuota,
                        bodyMemory("entry"),
                        callerBounds(),
                        this::storeAgeMillis,
                        metrics);
        this.configuration =
                new ConfigurationHolder(
                        protocol.configuration(), entry::configure, this::storeAgeMillis, log);
        this.host =
                new HostService(
                        gate,
                        directory,
                        loop,
                        targetConnections,
                        settings.targetAddress(),
                        protocol.names(),
                        bodyMemory("host"),
                        metrics);
        UnusableEntries unusable = unusableEntries();
        FleetStore store = protocol.store().apply(client, metrics::storeCall);
        PeerClient peers = new PeerClient(client, settings.peerListen().port(), unusable);
        PeerMessageCodec codec = new PeerMessageCodec(unusable);
        this.quotaExchange = new QuotaExchange(settings.node(), directory, peers, codec, unusable);
        this.quotas = settings.quotaBounds().map(bounds -> coordinator(bounds, peers));
        ConfigurationExchange exchange =
                new ConfigurationExchange(configuration, order, peers, codec);
        this.fleet =
                new FleetSync(
                        settings,
                        incarnation,
                        directory,
                        suspects,
                        store,
                        peers,
                        loop,
                        exchange,
                        random.split(),
                        codec,
                        unusable,
                        metrics,
                        log);
        this.target =
                new LocalTarget(settings, this::acceptsService, host, fleet, loop, metrics, log);
        this.watch = watch(store, order, exchange, random.split(), unusable);
        store.onEra(this::isCurrentEra);
        host.onCrash(fleet::requestCrashedTarget);
        host.onPublishedChange(fleet::targetChanged);
        fleet.onPrevious(target::learn, target::adopt);
        exchange.onElsewhere(watch::knownElsewhere, watch::learnedElsewhere);
        metrics.observeConfiguration(configuration::version, this::storeAgeMillis);
    }

    /** Nodes that start at the same moment must not draw the same numbers. */
    private SplittableRandom random(long incarnation) {
        return new SplittableRandom(incarnation ^ (long) settings.node().hashCode() << 32);
    }

    private CallerBounds callerBounds() {
        return CallerBounds.of(
                Runtime.getRuntime().maxMemory(),
                Math.min(settings.maxDescriptors(), DescriptorLimit.ofThisProcess()));
    }

    private QuotaCoordinator coordinator(QuotaBounds bounds, PeerClient peers) {
        QuotaCoordinator coordinator =
                new QuotaCoordinator(
                        settings.node(),
                        quotaExchange,
                        new PathBackoff(),
                        bounds,
                        System.nanoTime());
        peers.onOutcome(reached -> coordinator.observeCall(reached, System.nanoTime()));
        return coordinator;
    }

    private void requestQuota(
            Organisation organisation, long version, Consumer<QuotaDecision> done) {
        if (quotas.isEmpty()) {
            done.accept(new QuotaDecision.Granted());
            return;
        }
        QuotaLimit limit =
                new QuotaLimit(organisation.requestsPerSecond(), organisation.burst(), version);
        quotas.get().request(organisation.name(), limit, System.nanoTime(), done);
    }

    /**
     * Whether an answer of the store belongs to its current era; reacts to the first of a new one.
     */
    private boolean isCurrentEra(long era) {
        long before = storeEra.current();
        StoreEra.Relation relation = storeEra.observe(era);
        if (relation == StoreEra.Relation.NEWER) {
            log.write("store_era_changed", "era", era, "before", before);
            watch.eraChanged();
            fleet.eraChanged();
        }
        return relation != StoreEra.Relation.EARLIER;
    }

    private long storeAgeMillis() {
        return watch.answerAgeMillis();
    }

    private ConfigurationWatch watch(
            FleetStore store,
            NodeOrder order,
            ConfigurationExchange exchange,
            SplittableRandom random,
            UnusableEntries unusable) {
        return new ConfigurationWatch(
                store,
                loop,
                configuration,
                order::position,
                exchange::tell,
                random,
                unusable,
                metrics,
                log);
    }

    private ConnectionPool connections(long idleMillis, List<String> singleHeaders) {
        return new ConnectionPool(loop, CONNECT_TIMEOUT_MILLIS, idleMillis, singleHeaders, metrics);
    }

    private RetryBudgetShare retryBudgetShare() {
        return new RetryBudgetShare(
                settings.retryRatio(),
                settings.retrySlack(),
                settings.retryWindowSeconds(),
                1,
                System.nanoTime());
    }

    /**
     * Returns a half of the memory for bodies. The sides have separate ones: bodies that wait at
     * entry sides must not keep host sides from taking any.
     */
    private BodyMemory bodyMemory(String side) {
        // The other half of the JVM's direct memory is for answers and for what is being read.
        long bytes = Math.min(settings.bodyMemoryBytes(), PlatformDependent.maxDirectMemory() / 2);
        BodyMemory memory = new BodyMemory(bytes / 2);
        metrics.observeBodyMemory(side, memory::heldBytes);
        return memory;
    }

    private UnusableEntries unusableEntries() {
        return new UnusableEntries(
                metrics::unusableEntry,
                (kind, name, cause) ->
                        log.write("entry_unusable", "kind", kind, "name", name, "cause", cause));
    }

    /**
     * Opens the listeners and starts loading the configuration and the directory. Does nothing if
     * the node has already been stopped.
     */
    public synchronized void start() {
        if (stopping) {
            return;
        }
        // The directory must hold this node before its first heartbeat can change the entry.
        loop.submit(
                        () -> {
                            watch.start();
                            fleet.start();
                            target.start();
                        })
                .syncUninterruptibly();
        TrafficServers.control(loop, settings.healthListen(), this::health, metrics);
        TrafficServers.control(
                loop, settings.heartbeatListen(), protocol.heartbeats().apply(target), metrics);
        TrafficServers.control(loop, settings.peerListen(), this::peerCall, metrics);
        TrafficServers.host(loop, settings.hostListen(), host);
        callerListener = TrafficServers.entry(loop, settings.callerListen(), entry);
        accepting = true;
        loop.scheduleAtFixedRate(
                metrics.guarded("idle_check", this::closeIdle),
                IDLE_CHECK_MILLIS,
                IDLE_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(
                metrics.guarded("settings_check", this::applyChangedSettings),
                SETTINGS_CHECK_MILLIS,
                SETTINGS_CHECK_MILLIS,
                TimeUnit.MILLISECONDS);
        quotas.ifPresent(
                coordinator ->
                        loop.scheduleAtFixedRate(
                                metrics.guarded(
                                        "quota_tick", () -> coordinator.tick(System.nanoTime())),
                                QUOTA_TICK_MILLIS,
                                QUOTA_TICK_MILLIS,
                                TimeUnit.MILLISECONDS));
        log.write(
                "started",
                "service",
                settings.service(),
                "listen",
                callerListener.localAddress(),
                "first_start",
                settings.firstStart());
    }

    /**
     * Applies changed settings. Only the service of the local target can change at runtime.
     *
     * @param changed the new settings
     */
    public void reload(SidecarSettings changed) {
        log.write("reloaded", "service", changed.service(), "before", localService);
        localService = changed.service();
    }

    private void applyChangedSettings() {
        protocol.changedSettings().get().ifPresent(this::reload);
    }

    /**
     * Whether the local target may run a service. Requests that begin here bear the name of the
     * service in the settings, which must not lag behind the target: if its heartbeat names another
     * service, they are read first.
     */
    private boolean acceptsService(String service) {
        if (!service.equals(localService)) {
            applyChangedSettings();
        }
        return entry.knowsService(service);
    }

    /**
     * Drains the node: returns when the in-flight requests have ended or the grace period is over.
     */
    public void stop() {
        long startNanos = System.nanoTime();
        stopping = true;
        if (!started()) {
            log.write("stopped", "cause", "not started");
            log.close();
            return;
        }
        log.write("stopping", "active", entry.activeCount(), "hosted", host.activeCount());
        CountDownLatch ended = new CountDownLatch(1);
        loop.execute(
                () -> {
                    StopSchedule schedule = StopSchedule.of(startNanos, settings.graceMillis());
                    entry.stop(schedule);
                    host.stop();
                    host.publish();
                    awaitIdle(schedule, ended);
                });
        try {
            ended.await(settings.graceMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.write("stopped", "active", entry.activeCount(), "hosted", host.activeCount());
        log.close();
    }

    /** Returns whether the node was started; waits for a start in progress on another thread. */
    private synchronized boolean started() {
        return callerListener != null;
    }

    /** Closes all connections at once without draining, like a killed process. */
    @Override
    public void close() {
        nodeLoop.close();
        log.close();
    }

    /**
     * Checks repeatedly until no request is in flight and callers have noticed the stop, or until
     * the end of the stop. Then closes the listener and the idle connections, so that no request is
     * read after the last check. Until then a request that the stop leaves no time for is refused
     * rather than met by a closed listener, and a short call of the local target is still served.
     */
    private void awaitIdle(StopSchedule schedule, CountDownLatch ended) {
        long now = System.nanoTime();
        boolean idle = entry.activeCount() == 0 && host.activeCount() == 0;
        boolean over = schedule.over(now);
        if ((idle && schedule.noticed(now) || over) && callerListener.isOpen()) {
            callerListener.close();
            entry.closeIdle();
        }
        if (schedule.startsEnded(now)) {
            entry.refuseWaiting();
        }
        if (over) {
            entry.endRequests();
        }
        if (over || idle && !callerListener.isOpen() && entry.connectionCount() == 0) {
            // Leaves the event loop time to write the last answers.
            loop.schedule(ended::countDown, STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            loop.schedule(
                    () -> awaitIdle(schedule, ended), STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void closeIdle() {
        nodeConnections.closeIdle();
        targetConnections.closeIdle();
    }

    private void health(
            String method, String path, byte[] body, Consumer<ControlEndpoint.Reply> reply) {
        // Before the listener is open, callers that believe the answer would be turned away.
        boolean ready =
                accepting && !stopping && configuration.content().isPresent() && fleet.listed();
        reply.accept(ControlEndpoint.Reply.of(ready ? 200 : 503));
    }

    private void peerCall(
            String method, String path, byte[] body, Consumer<ControlEndpoint.Reply> reply) {
        if (path.equals("/metrics")) {
            reply.accept(metricsReply());
            return;
        }
        if (path.equals(QuotaExchange.PATH) && quotas.isPresent()) {
            quotaExchange.handleMessage(
                    quotas.get(), body, bytes -> reply.accept(messageReply(bytes)));
            return;
        }
        reply.accept(messageReply(fleet.handleMessage(path, body)));
    }

    private static ControlEndpoint.Reply messageReply(Optional<byte[]> body) {
        return body.map(bytes -> new ControlEndpoint.Reply(200, "application/json", bytes))
                .orElseGet(() -> ControlEndpoint.Reply.of(404));
    }

    private ControlEndpoint.Reply metricsReply() {
        try {
            return new ControlEndpoint.Reply(
                    200, "text/plain; version=0.0.4", metrics.exposition());
        } catch (IOException e) {
            log.write("metrics_unavailable", "cause", e.getMessage());
            return ControlEndpoint.Reply.of(500);
        }
    }
}
