package org.azureshed.sidecar;

import io.netty.channel.EventLoop;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.telemetry.DecisionLog;

/** Reads the configuration from the store and then waits for its changes, for ever. */
final class ConfigurationWatch {
    private static final String KIND = "config";
    private static final String NAME = "main";

    /**
     * The longest wait that the store allows, since each call is paid for. A silent connection is
     * noticed by keep-alive probes.
     */
    private static final long WAIT_MILLIS = 30_000;

    /**
     * Pause after each change. Changes in quick succession are then told by one answer; the last
     * one is known that much later, a small part of the seconds that a change may take.
     */
    private static final long PAUSE_MILLIS = 300;

    private final FleetStore store;
    private final EventLoop loop;
    private final ConfigurationKeeper keeper;
    private final Backoff backoff;
    private final DecisionLog log;
    private boolean reachable = true;

    ConfigurationWatch(
            FleetStore store,
            EventLoop loop,
            ConfigurationKeeper keeper,
            SplittableRandom random,
            DecisionLog log) {
        this.store = store;
        this.loop = loop;
        this.keeper = keeper;
        this.backoff = new Backoff(random);
        this.log = log;
    }

    void start() {
        list("");
    }

    /**
     * Lists the kind instead of reading the one object: only a listing tells the store's present
     * revision, and a watch from the object's own one fails when the history since then is gone.
     */
    private void list(String after) {
        store.list(
                KIND,
                after,
                false,
                result -> {
                    switch (result) {
                        case FleetStore.Result.Done done -> listed(done);
                        default -> retry(result, this::start);
                    }
                });
    }

    private void listed(FleetStore.Result.Done done) {
        regained();
        done.entries().stream()
                .filter(entry -> entry.name().equals(NAME))
                .forEach(entry -> keeper.offer(entry.content(), "store"));
        boolean found = done.entries().stream().anyMatch(entry -> entry.name().equals(NAME));
        if (!found && done.more() && !done.entries().isEmpty()) {
            list(done.entries().getLast().name());
        } else {
            watch(done.revision());
        }
    }

    private void watch(long revision) {
        store.watch(
                KIND,
                revision,
                WAIT_MILLIS,
                result -> {
                    switch (result) {
                        case FleetStore.Result.Done done -> {
                            regained();
                            done.entries().stream()
                                    .filter(entry -> entry.name().equals(NAME))
                                    .filter(entry -> !entry.removed())
                                    .forEach(entry -> keeper.offer(entry.content(), "watch"));
                            long next = Math.max(revision, done.revision());
                            loop.schedule(() -> watch(next), PAUSE_MILLIS, TimeUnit.MILLISECONDS);
                        }
                        case FleetStore.Result.HistoryGone ignored -> {
                            log.write("watch_history_gone", "kind", KIND, "revision", revision);
                            loop.schedule(this::start, backoff.next(), TimeUnit.MILLISECONDS);
                        }
                        // Changes may have been missed meanwhile; the object tells them all.
                        default -> retry(result, this::start);
                    }
                });
    }

    private void regained() {
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
