package org.azureshed.bench;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.io.entity.EntityUtils;

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
        long interval = TimeUnit.SECONDS.toNanos(1) / perSecond;
        long count = duration.toNanos() / interval;
        long start = System.nanoTime();
        try (ExecutorService senders = Executors.newVirtualThreadPerTaskExecutor()) {
            for (long i = 0; i < count; i++) {
                long due = start + i * interval;
                awaitNanos(due);
                senders.execute(() -> send(url, due, latency, failures));
            }
        }
        return new Result(latency, failures.get());
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

    @Override
    public void close() throws IOException {
        client.close();
    }
}
