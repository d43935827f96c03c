package org.azureshed.sidecar;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.telemetry.UnusableEntries;
import org.azureshed.traffic.TrafficEvents;
import org.azureshed.watch.FleetPosition;
import org.azureshed.watch.StoreWatch;
import org.azureshed.watch.WatchEffect;
import org.azureshed.watch.WatchEvent;
import org.azureshed.watch.WatchTiming;

/**
 * Loads the configuration from the store and then watches it until the process ends: carries out
 * the effects of a {@link StoreWatch}. Runs on one event loop.
 */
final class ConfigurationWatch {
    private static final String KIND = "config";
    private static final String NAME = "main";

    private static final long RESTART_DELAY_MILLIS = 100;

    private final FleetStore store;
    private final EventLoop loop;
    private final ConfigurationHolder holder;
    private final Supplier<FleetPosition> position;
    private final LongConsumer tellNodes;
    private final StoreWatch watch;
    private final SplittableRandom random;
    private final UnusableEntries unusable;
    private final TrafficEvents events;
    private final DecisionLog log;
    private ScheduledFuture<?> timer;
    private long latestCall;
    private boolean reachable = true;

    /** When the store last answered a call of the watch; meaningless until {@link #answered}. */
    private long lastAnswerNanos;

    private boolean answered;

    /**
     * Creates a watch that has not started.
     *
     * @param store client of the store
     * @param loop event loop of this watch and of the store's results
     * @param holder receives configurations
     * @param position place of this node among the known nodes
     * @param tellNodes tells some other nodes of a version
     * @param random spreads the calls of nodes that fail together
     * @param unusable receives objects that cannot be decoded
     * @param events receives lost answers and exceptions
     * @param log receives the state of the store as this node sees it
     */
    ConfigurationWatch(
            FleetStore store,
            EventLoop loop,
            ConfigurationHolder holder,
            Supplier<FleetPosition> position,
            LongConsumer tellNodes,
            SplittableRandom random,
            UnusableEntries unusable,
            TrafficEvents events,
            DecisionLog log) {
        this.store = store;
        this.loop = loop;
        this.holder = holder;
        this.position = position;
        this.tellNodes = tellNodes;
        this.random = random;
        this.watch = new StoreWatch(WatchTiming.STANDARD, random::nextDouble);
        this.unusable = unusable;
        this.events = events;
        this.log = log;
    }

    void start() {
        guarded(() -> handle(new WatchEvent.Started()));
    }

    /** Another node knows of a configuration with a version. */
    void knownElsewhere(long version) {
        handle(new WatchEvent.KnownElsewhere(version));
    }

    /** The store began a new era. */
    void eraChanged() {
        guarded(() -> handle(new WatchEvent.EraChanged(random.nextDouble())));
    }

    /** Another node has sent a newer configuration, which is active now. */
    void learnedElsewhere() {
        handle(new WatchEvent.LearnedElsewhere(holder.version()));
    }

    /**
     * Returns the time since the store last said which configuration is the newest.
     *
     * @return the time in milliseconds; -1 if it has not said so yet
     */
    long answerAgeMillis() {
        return answered ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastAnswerNanos) : -1;
    }

    private void handle(WatchEvent event) {
        for (WatchEffect effect : watch.handle(event, position.get(), System.nanoTime())) {
            execute(effect);
        }
    }

    private void execute(WatchEffect effect) {
        switch (effect) {
            case WatchEffect.ListNow list -> {
                latestCall = list.call();
                list(list.call(), "");
            }
            case WatchEffect.WatchNow next -> {
                latestCall = next.call();
                watch(next);
            }
            case WatchEffect.DropIdleConnections ignored -> {
                events.anomaly(
                        "store_silent", "store_ms", answerAgeMillis(), "config", holder.version());
                store.dropIdleConnections();
            }
            case WatchEffect.TellNodes tell -> tellNodes.accept(tell.version());
            case WatchEffect.SetTimer next -> setTimer(next.nanos());
        }
    }

    private void setTimer(long nanos) {
        if (timer != null) {
            timer.cancel(false);
        }
        timer =
                loop.schedule(
                        () -> guarded(() -> handle(new WatchEvent.TimerFired())),
                        Math.max(0, nanos - System.nanoTime()),
                        TimeUnit.NANOSECONDS);
    }

    /**
     * Lists the kind instead of reading the single object: only a listing returns the store's
     * current revision, and a watch from the object's own revision fails once the store has
     * discarded the changes since then.
     */
    private void list(long call, String after) {
        store.list(
                KIND,
                after,
                false,
                guarded(
                        result -> {
                            if (result instanceof FleetStore.Result.Done done) {
                                listed(call, done);
                            } else {
                                failed(call, result);
                            }
                        }));
    }

    private void listed(long call, FleetStore.Result.Done done) {
        apply(done, "store");
        boolean found = done.entries().stream().anyMatch(entry -> entry.name().equals(NAME));
        if (!found && done.next().isPresent()) {
            list(call, done.next().get());
        } else {
            handle(new WatchEvent.Listed(call, done.revision(), holder.version()));
        }
    }

    private void watch(WatchEffect.WatchNow next) {
        store.watch(
                KIND, next.revision(), next.waitMillis(), guarded(result -> watched(next, result)));
    }

    private void watched(WatchEffect.WatchNow next, FleetStore.Result result) {
        switch (result) {
            case FleetStore.Result.Done done -> {
                apply(done, "watch");
                boolean changed = !done.entries().isEmpty() || !done.unreadable().isEmpty();
                handle(
                        new WatchEvent.Watched(
                                next.call(), done.revision(), changed, holder.version()));
            }
            case FleetStore.Result.HistoryGone ignored -> {
                log.write("watch_history_gone", "kind", KIND, "revision", next.revision());
                handle(new WatchEvent.HistoryGone(next.call()));
            }
            default -> failed(next.call(), result);
        }
    }

    private void apply(FleetStore.Result.Done done, String source) {
        onStoreReachable();
        done.unreadable().forEach(odd -> unusable.report(odd.kind(), odd.name(), odd.cause()));
        for (FleetStore.StoredEntry entry : done.entries()) {
            if (entry.name().equals(NAME) && !entry.removed()) {
                holder.applyIfNewer(entry.content(), source);
            }
        }
        // After the configuration was applied, so that its log line has the age of the answer
        // before.
        answered = true;
        lastAnswerNanos = System.nanoTime();
    }

    private Consumer<FleetStore.Result> guarded(Consumer<FleetStore.Result> handler) {
        return result -> guarded(() -> handler.accept(result));
    }

    /** After an exception the watch starts again; it must not end while the process runs. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            events.unexpected("configuration_watch", e);
            loop.schedule(this::start, RESTART_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void onStoreReachable() {
        if (!reachable) {
            reachable = true;
            log.write("store_regained");
        }
    }

    private void failed(long call, FleetStore.Result result) {
        // A call that was given up may fail after a later one was answered.
        if (reachable && call == latestCall) {
            reachable = false;
            log.write("store_lost", "result", result);
        }
        handle(new WatchEvent.Failed(call));
    }
}
