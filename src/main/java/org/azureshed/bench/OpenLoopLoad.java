package org.azureshed.bench;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.Collection;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.azureshed.proxy.InternalHeaders;

/**
 * Sends requests at a fixed rate, whatever the answers do. Latency counts from the scheduled time
 * of a request, so that a stall is seen by all requests that it delays.
 */
final class OpenLoopLoad implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 512;
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OK = 200;

    private final CloseableHttpClient client =
            HttpClients.custom()
                    .setConnectionManager(
                            PoolingHttpClientConnectionManagerBuilder.create()
                                    .setMaxConnTotal(MAX_CONNECTIONS)
                                    .setMaxConnPerRoute(MAX_CONNECTIONS)
                                    .build())
                    .disableAutomaticRetries()
                    .build();

    /**
     * Result of one run.
     *
     * @param latencyMicros latencies of successful requests in microseconds
     * @param failures requests without status 200
     */
    record Result(Histogram latencyMicros, long failures) {
        double percentileMillis(double percentile) {
            return latencyMicros.getValueAtPercentile(percentile) / 1_000.0;
        }
    }

    /**
     * How a request ended.
     *
     * @param status HTTP status, or 0 if the connection failed
     * @param outcome the fleet's {@code Azureshed-Outcome} header, or empty
     * @param body the response body, or empty
     * @param dueNanos when it was due, by {@link System#nanoTime()}
     * @param endNanos when the answer was complete, by {@link System#nanoTime()}
     */
    record Answer(int status, String outcome, String body, long dueNanos, long endNanos) {
        boolean ok() {
            return status == OK;
        }
    }

    /** Runs a request that is due at a time by {@link System#nanoTime()}. */
    private interface Sender {
        void send(long dueNanos);
    }

    /**
     * Runs a load and waits for all answers.
     *
     * @param url what to request
     * @param perSecond requests per second
     * @param duration how long to send
     * @return latencies and failures
     */
    Result run(URI url, int perSecond, Duration duration) {
        Histogram latency = new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        AtomicLong failures = new AtomicLong();
        schedule(perSecond, duration, due -> send(url, due, latency, failures));
        return new Result(latency, failures.get());
    }

    /**
     * Runs a load, waits for all answers and reports each of them.
     *
     * @param requests makes the requests
     * @param perSecond requests per second
     * @param duration how long to send
     * @return how each request ended, in any order
     */
    Collection<Answer> answers(
            Supplier<ClassicHttpRequest> requests, int perSecond, Duration duration) {
        Collection<Answer> answers = new ConcurrentLinkedQueue<>();
        schedule(perSecond, duration, due -> answers.add(send(requests.get(), due)));
        return answers;
    }

    private static void schedule(int perSecond, Duration duration, Sender sender) {
        long interval = TimeUnit.SECONDS.toNanos(1) / perSecond;
        long count = duration.toNanos() / interval;
        long start = System.nanoTime();
        try (ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor()) {
            for (long i = 0; i < count; i++) {
                long due = start + i * interval;
                awaitNanos(due);
                senders.execute(() -> sender.send(due));
            }
        }
    }

    private static void awaitNanos(long due) {
        long left;
        while ((left = due - System.nanoTime()) > 0) {
            LockSupport.parkNanos(left);
        }
    }

    private void send(URI url, long due, Histogram latency, AtomicLong failures) {
        try {
            int status =
                    client.execute(
                            new HttpGet(url),
                            response -> {
                                EntityUtils.consume(response.getEntity());
                                return response.getCode();
                            });
            if (status == OK) {
                long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - due);
                latency.recordValue(Math.min(micros, MAX_LATENCY_MICROS));
            } else {
                failures.incrementAndGet();
            }
        } catch (IOException e) {
            failures.incrementAndGet();
        }
    }

    private Answer send(ClassicHttpRequest request, long due) {
        try {
            return client.execute(
                    request,
                    response -> {
                        Header outcome = response.getFirstHeader(InternalHeaders.OUTCOME);
                        String body = EntityUtils.toString(response.getEntity());
                        return new Answer(
                                response.getCode(),
                                outcome == null ? "" : outcome.getValue(),
                                body == null ? "" : body,
                                due,
                                System.nanoTime());
                    });
        } catch (IOException e) {
            return new Answer(0, "", "", due, System.nanoTime());
        }
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
