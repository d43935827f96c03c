package org.azureshed.control;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azureshed.telemetry.EventLog;

/**
 * The single thread that reduces control events.
 *
 * <p>Any thread may queue events. The handler receives effects on the control thread and must run
 * blocking input and output on another thread.
 */
public final class ControlLoop {
    private static final long TICK_MILLIS = 200;

    private final BlockingQueue<ControlEvent> queue = new LinkedBlockingQueue<>();
    private final ControlReducer reducer;
    private final Consumer<Effect> effectHandler;
    private final Thread thread;
    private volatile Snapshot snapshot;
    private volatile boolean stopped;
    private ControlState state;
    private long lastTickMillis;

    /**
     * Creates a loop without starting its thread.
     *
     * @param reducer computes the next state and the effects of each event
     * @param initial the first state
     * @param effectHandler carries out effects; a snapshot is published before it is called
     */
    public ControlLoop(
            ControlReducer reducer, ControlState initial, Consumer<Effect> effectHandler) {
        this.reducer = reducer;
        this.effectHandler = effectHandler;
        this.state = initial;
        this.snapshot = initial.snapshot();
        this.thread = new Thread(this::run, "control");
        this.thread.setDaemon(true);
    }

    /** Starts the control thread. */
    public void start() {
        thread.start();
    }

    /** Stops the control thread after the event that it is reducing. */
    public void stop() {
        stopped = true;
        thread.interrupt();
    }

    /**
     * Queues an event. Does not block.
     *
     * @param event reduced on the control thread, in the order of submission
     */
    public void submit(ControlEvent event) {
        queue.add(event);
    }

    /**
     * Returns the snapshot that was published last.
     *
     * @return an immutable snapshot; safe to read from any thread
     */
    public Snapshot snapshot() {
        return snapshot;
    }

    private void run() {
        while (!stopped) {
            try {
                ControlEvent event = queue.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
                long now = nowMillis();
                if (now - lastTickMillis >= TICK_MILLIS) {
                    lastTickMillis = now;
                    reduce(new ControlEvent.Tick(now));
                }
                if (event != null) {
                    reduce(event);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                EventLog.warning("control_event_failed").with("error", e).write();
            }
        }
    }

    private void reduce(ControlEvent event) {
        Step<ControlState, Effect> step = reducer.reduce(state, event);
        state = step.state();
        for (Effect effect : step.effects()) {
            if (effect instanceof Effect.PublishSnapshot(Snapshot published)) {
                snapshot = published;
            }
            effectHandler.accept(effect);
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
