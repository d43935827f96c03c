package org.azureshed.sidecar;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azureshed.telemetry.DecisionLog;
import org.azureshed.telemetry.UnusableEntries;
import org.azureshed.traffic.TrafficEvents;

/** Loads the configuration from the store and then watches it until the process ends. */
final class ConfigurationWatch {
    private static final String KIND = "config";
    private static final String NAME = "main";

    /**
     * The longest wait that the store allows, because each call is billed. A shorter one is not
     * needed to detect a dead connection, since TCP keep-alive probes do that.
     */
    private static final long WAIT_MILLIS = 30_000;

    /**
     * Delay before the next watch, so that one response covers several changes in quick succession.
     * It delays the last change by a small part of the seconds that a change may take.
     */
    private static final long WATCH_DELAY_MILLIS = 300;

    private final FleetStore store;
    private final EventLoop loop;
    private final ConfigurationHolder holder;
    private final Backoff backoff;
    private final UnusableEntries unusable;
    private final TrafficEvents events;
    private final DecisionLog log;
    private boolean reachable = true;

    /** When the store last answered a call of the watch; meaningless until {@link #answered}. */
    private long lastAnswerNanos;

    private boolean answered;

    ConfigurationWatch(
            FleetStore store,
            EventLoop loop,
            ConfigurationHolder holder,
            SplittableRandom random,
            UnusableEntries unusable,
            TrafficEvents events,
            DecisionLog log) {
        this.store = store;
        this.loop = loop;
        this.holder = holder;
        this.backoff = new Backoff(random);
        this.unusable = unusable;
        this.events = events;
        this.log = log;
    }

    void start() {
        list("");
    }

    /**
     * Returns the time since the store last said which configuration is the newest.
     *
     * @return the time in milliseconds; -1 if it has not said so yet
     */
    long answerAgeMillis() {
        return answered ? TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastAnswerNanos) : -1;
    }

    /**
     * Lists the kind instead of reading the single object: only a listing returns the store's
     * current revision, and a watch from the object's own revision fails once the store has
     * discarded the changes since then.
     */
    private void list(String after) {
        store.list(
                KIND,
                after,
                false,
                guarded(
                        result -> {
                            switch (result) {
                                case FleetStore.Result.Done done -> listed(done);
                                default -> retry(result, this::start);
                            }
                        }));
    }

    private void listed(FleetStore.Result.Done done) {
        onStoreReachable();
        done.unreadable().forEach(odd -> unusable.report(odd.kind(), odd.name(), odd.cause()));
        done.entries().stream()
                .filter(entry -> entry.name().equals(NAME))
                .forEach(entry -> holder.applyIfNewer(entry.content(), "store"));
        noteAnswer();
        boolean found = done.entries().stream().anyMatch(entry -> entry.name().equals(NAME));
        if (!found && done.next().isPresent()) {
            list(done.next().get());
        } else {
            watch(done.revision());
        }
    }

    private void watch(long revision) {
        store.watch(
                KIND,
                revision,
                WAIT_MILLIS,
                guarded(
                        result -> {
                            switch (result) {
                                case FleetStore.Result.Done done -> {
                                    onStoreReachable();
                                    done.unreadable()
                                            .forEach(
                                                    odd ->
                                                            unusable.report(
                                                                    odd.kind(),
                                                                    odd.name(),
                                                                    odd.cause()));
                                    done.entries().stream()
                                            .filter(entry -> entry.name().equals(NAME))
                                            .filter(entry -> !entry.removed())
                                            .forEach(
                                                    entry ->
                                                            holder.applyIfNewer(
                                                                    entry.content(), "watch"));
                                    noteAnswer();
                                    long next = Math.max(revision, done.revision());
                                    loop.schedule(
                                            () -> watch(next),
                                            WATCH_DELAY_MILLIS,
                                            TimeUnit.MILLISECONDS);
                                }
                                case FleetStore.Result.HistoryGone ignored -> {
                                    log.write(
                                            "watch_history_gone",
                                            "kind",
                                            KIND,
                                            "revision",
                                            revision);
                                    loop.schedule(
                                            this::start, backoff.next(), TimeUnit.MILLISECONDS);
                                }
                                // Changes may have been missed; listing returns the current
                                // content.
                                default -> retry(result, this::start);
                            }
                        }));
    }

    /** After an exception the watch starts again; it must not end while the process runs. */
    private Consumer<FleetStore.Result> guarded(Consumer<FleetStore.Result> handler) {
        return result -> {
            try {
                handler.accept(result);
            } catch (RuntimeException e) {
                events.unexpected("configuration_watch", e);
                loop.schedule(this::start, backoff.next(), TimeUnit.MILLISECONDS);
            }
        };
    }

    /** Called after an answer was applied, so that the log shows the age of the one before. */
    private void noteAnswer() {
        answered = true;
        lastAnswerNanos = System.nanoTime();
    }

    private void onStoreReachable() {
        backoff.reset();
        if (!reachable) {
            reachable = true;
            log.write("store_regained");
        }
    }

    private void retry(FleetStore.Result result, Runnable next) {
        if (reachable) {
            reachable = false;
            log.write("store_lost", "result", result);
        }
        loop.schedule(next, backoff.next(), TimeUnit.MILLISECONDS);
    }
}
