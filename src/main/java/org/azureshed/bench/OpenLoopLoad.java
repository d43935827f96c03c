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
 * Open-loop load generator: sends requests at a fixed rate, however long the responses take.
 * Latency counts from the scheduled time of a request, so that a stall shows in the latency of all
 * requests that it delays (no coordinated omission).
 */
final class OpenLoopLoad implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 512;
    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int STATUS_OK = 200;

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
     * @param latencyMicros latencies of the successful requests, in microseconds; longer ones count
     *     as one minute
     * @param failures number of requests without a response of status 200
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
     * @param dueNanos scheduled time of the request, by {@link System#nanoTime()}
     * @param endNanos when the response was complete or the connection failed, by {@link
     *     System#nanoTime()}
     */
    record Response(int status, String outcome, String body, long dueNanos, long endNanos) {
        boolean ok() {
            return status == STATUS_OK;
        }
    }

    /** Sends the request that is scheduled for a time, by {@link System#nanoTime()}. */
    private interface RequestSender {
        void send(long dueNanos);
    }

    /**
     * Sends GET requests and waits until all of them have ended.
     *
     * @param url URL of the requests
     * @param requestsPerSecond requests per second
     * @param duration how long to send
     * @return latencies and failures
     */
    Result run(URI url, int requestsPerSecond, Duration duration) {
        Histogram latencies = new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
        AtomicLong failures = new AtomicLong();
        schedule(requestsPerSecond, duration, dueNanos -> send(url, dueNanos, latencies, failures));
        return new Result(latencies, failures.get());
    }

    /**
     * Sends requests, waits until all of them have ended, and returns each response.
     *
     * @param requests creates the requests
     * @param requestsPerSecond requests per second
     * @param duration how long to send
     * @return one response for each request, in any order
     */
    Collection<Response> runAndCollect(
            Supplier<ClassicHttpRequest> requests, int requestsPerSecond, Duration duration) {
        Collection<Response> responses = new ConcurrentLinkedQueue<>();
        schedule(
                requestsPerSecond,
                duration,
                dueNanos -> responses.add(send(requests.get(), dueNanos)));
        return responses;
    }

    private static void schedule(int requestsPerSecond, Duration duration, RequestSender sender) {
        long intervalNanos = TimeUnit.SECONDS.toNanos(1) / requestsPerSecond;
        long count = duration.toNanos() / intervalNanos;
        long startNanos = System.nanoTime();
        try (ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor()) {
            for (long i = 0; i < count; i++) {
                long dueNanos = startNanos + i * intervalNanos;
                sleepUntil(dueNanos);
                senders.execute(() -> sender.send(dueNanos));
            }
        }
    }

    private static void sleepUntil(long dueNanos) {
        long remainingNanos;
        while ((remainingNanos = dueNanos - System.nanoTime()) > 0) {
            LockSupport.parkNanos(remainingNanos);
        }
    }

    private void send(URI url, long dueNanos, Histogram latencies, AtomicLong failures) {
        try {
            int status =
                    client.execute(
                            new HttpGet(url),
                            response -> {
                                EntityUtils.consume(response.getEntity());
                                return response.getCode();
                            });
            if (status == STATUS_OK) {
                long micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - dueNanos);
                latencies.recordValue(Math.min(micros, MAX_LATENCY_MICROS));
            } else {
                failures.incrementAndGet();
            }
        } catch (IOException e) {
            failures.incrementAndGet();
        }
    }

    private Response send(ClassicHttpRequest request, long dueNanos) {
        try {
            return client.execute(
                    request,
                    response -> {
                        Header outcome = response.getFirstHeader(InternalHeaders.OUTCOME);
                        String body = EntityUtils.toString(response.getEntity());
                        return new Response(
                                response.getCode(),
                                outcome == null ? "" : outcome.getValue(),
                                body == null ? "" : body,
                                dueNanos,
                                System.nanoTime());
                    });
        } catch (IOException e) {
            return new Response(0, "", "", dueNanos, System.nanoTime());
        }
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
