package org.azureshed.dispatch;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/**
 * Which requests a stopping node still sends to targets, so that none of them is cut off. Times are
 * on the node's monotonic clock.
 *
 * <p>A request whose deadline lies before the end of the stop is always taken: it has ended by
 * then. Any other one may still be running at the end, so it is taken only while its caller cannot
 * know of the stop, and only while there is time for a usual run.
 *
 * @param noticedNanos time by which callers have noticed the stop
 * @param lastStartNanos time after which no request is sent that might outlast the stop
 * @param endNanos time at which the remaining requests are ended
 */
public record StopSchedule(long noticedNanos, long lastStartNanos, long endNanos) {
    /** Callers detect a stopping node by two failed health checks, one a second. */
    private static final long NOTICE_MILLIS = 2_300;

    /** Part of the grace period reserved for ending the process. */
    private static final long MARGIN_MILLIS = 1_000;

    /** Time left for a run that begins at the last moment. */
    private static final long MIN_RUN_MILLIS = 1_000;

    /**
     * Plans a stop.
     *
     * @param startNanos time at which the node was told to stop
     * @param graceMillis time in milliseconds after which the process is killed; not negative
     * @return the schedule
     */
    public static StopSchedule of(long startNanos, long graceMillis) {
        checkArgument(graceMillis >= 0, "graceMillis is negative: %s", graceMillis);
        long endMillis = Math.max(0, graceMillis - MARGIN_MILLIS);
        long lastStartMillis = Math.max(0, endMillis - MIN_RUN_MILLIS);
        return new StopSchedule(
                startNanos + TimeUnit.MILLISECONDS.toNanos(NOTICE_MILLIS),
                startNanos + TimeUnit.MILLISECONDS.toNanos(lastStartMillis),
                startNanos + TimeUnit.MILLISECONDS.toNanos(endMillis));
    }

    /**
     * Whether a request that no target has received yet may be sent to one.
     *
     * @param arrivalNanos time at which the request arrived
     * @param deadlineNanos deadline of its answer
     * @param nowNanos current time
     * @return false if the caller must be told that the request has not run
     */
    public boolean mayStart(long arrivalNanos, long deadlineNanos, long nowNanos) {
        boolean endsInTime = deadlineNanos - endNanos <= 0;
        boolean arrivedUnaware = arrivalNanos - noticedNanos < 0;
        return endsInTime || arrivedUnaware && nowNanos - lastStartNanos < 0;
    }

    /**
     * Whether callers have noticed the stop.
     *
     * @param nowNanos current time
     * @return true if the node may exit once it is idle
     */
    public boolean noticed(long nowNanos) {
        return nowNanos - noticedNanos >= 0;
    }

    /**
     * Whether requests that might outlast the stop are no longer sent.
     *
     * @param nowNanos current time
     * @return true if waiting requests must be refused, except those that end in time
     */
    public boolean startsEnded(long nowNanos) {
        return nowNanos - lastStartNanos >= 0;
    }

    /**
     * Whether the remaining requests must be ended.
     *
     * @param nowNanos current time
     * @return true if the process is about to exit
     */
    public boolean over(long nowNanos) {
        return nowNanos - endNanos >= 0;
    }
}
