package org.azureshed.simulation;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPromise;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoRegistration;
import io.netty.util.concurrent.AbstractScheduledEventExecutor;
import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.ImmediateEventExecutor;
import io.netty.util.concurrent.Promise;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Event loop of a simulated process. A task that comes from outside of the loop runs at once, so
 * that nobody has to wait for it; tasks from inside run after the current one.
 */
public final class SimulatedEventLoop extends AbstractScheduledEventExecutor
        implements IoEventLoop {
    /** More tasks at one moment than this mean that they follow each other without end. */
    private static final int MAX_TASKS_AT_ONCE = 200_000;

    private final SimulatedProcess process;
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final Promise<Void> termination = new DefaultPromise<>(ImmediateEventExecutor.INSTANCE);
    private boolean running;
    private long armedNanos = Long.MAX_VALUE;

    SimulatedEventLoop(SimulatedProcess process) {
        this.process = process;
    }

    SimulatedProcess process() {
        return process;
    }

    @Override
    public void execute(Runnable task) {
        if (!process.ended()) {
            tasks.add(task);
            wake();
        }
    }

    /** Runs what is due unless the process cannot run now. */
    void wake() {
        if (!running && !process.frozen() && !process.ended()) {
            running = true;
            try {
                process.run(this::runDueTasks);
            } finally {
                running = false;
            }
            arm();
        }
    }

    private void runDueTasks() {
        for (int count = 0; !process.ended() && !process.frozen(); count++) {
            for (Runnable due = pollScheduledTask(); due != null; due = pollScheduledTask()) {
                tasks.add(due);
            }
            Runnable task = tasks.poll();
            if (task == null) {
                return;
            }
            if (count > MAX_TASKS_AT_ONCE) {
                throw new IllegalStateException("tasks without end at " + process.ip());
            }
            safeExecute(task);
        }
    }

    private void arm() {
        long deadline = nextScheduledTaskDeadlineNanos();
        if (process.ended() || deadline < 0) {
            return;
        }
        long atNanos = process.time().nanos() + Math.max(0, deadline - getCurrentTimeNanos());
        if (atNanos < armedNanos) {
            armedNanos = atNanos;
            process.time()
                    .at(
                            atNanos,
                            () -> {
                                armedNanos = Long.MAX_VALUE;
                                wake();
                            });
        }
    }

    void end() {
        tasks.clear();
        termination.trySuccess(null);
    }

    @Override
    protected long getCurrentTimeNanos() {
        // Netty takes negative deadlines for none.
        return process.time().nanos() + TimeUnit.DAYS.toNanos(1);
    }

    @Override
    public boolean inEventLoop(Thread thread) {
        return running && SimulatedProcess.current() == process;
    }

    @Override
    public IoEventLoop next() {
        return this;
    }

    @Override
    public IoEventLoopGroup parent() {
        return this;
    }

    @Override
    public ChannelFuture register(Channel channel) {
        return register(new DefaultChannelPromise(channel, this));
    }

    @Override
    public ChannelFuture register(ChannelPromise promise) {
        promise.channel().unsafe().register(this, promise);
        return promise;
    }

    @Override
    @Deprecated
    public ChannelFuture register(Channel channel, ChannelPromise promise) {
        channel.unsafe().register(this, promise);
        return promise;
    }

    @Override
    public Future<IoRegistration> register(IoHandle handle) {
        throw new UnsupportedOperationException("simulated channels have no handles");
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
        return false;
    }

    @Override
    public boolean isIoType(Class<? extends IoHandler> type) {
        return false;
    }

    @Override
    public Future<?> shutdownGracefully(long quietPeriod, long timeout, TimeUnit unit) {
        throw new UnsupportedOperationException("a simulated process is killed");
    }

    @Override
    public Future<?> terminationFuture() {
        return termination;
    }

    @Override
    @Deprecated
    public void shutdown() {
        throw new UnsupportedOperationException("a simulated process is killed");
    }

    @Override
    public boolean isShuttingDown() {
        return process.ended();
    }

    @Override
    public boolean isShutdown() {
        return process.ended();
    }

    @Override
    public boolean isTerminated() {
        return process.ended();
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return process.ended();
    }
}
