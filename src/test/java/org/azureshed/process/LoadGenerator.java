package org.azureshed.process;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** Sends one request after the other until it is stopped, and records the result of each. */
final class LoadGenerator implements AutoCloseable {
    private static final long PAUSE_MILLIS = 20;
    private static final long STOP_TIMEOUT_MILLIS = 15_000;

    private final HttpClient client;
    private final Duration timeout;
    private final boolean post;
    private final List<Result> results = new CopyOnWriteArrayList<>();
    private final Thread thread;
    private volatile URI uri;
    private volatile URI failoverUri;
    private volatile boolean stopped;

    /** Result of one request; the status is 0 if no response was received. */
    record Result(int status, String outcome, String body, long millis) {
        boolean ok() {
            return status == 200;
        }

        /**
         * Whether the request succeeded or its outcome is stated in the header Azureshed-Outcome.
         */
        boolean hasOutcome() {
            return ok() || outcome.equals("not-run") || outcome.equals("unknown");
        }
    }

    /** Sends GET requests. */
    LoadGenerator(HttpClient client, URI uri, Duration timeout) {
        this(client, uri, timeout, false);
    }

    /** Sends GET requests, or POST requests if {@code post} is set. */
    LoadGenerator(HttpClient client, URI uri, Duration timeout, boolean post) {
        this.post = post;
        this.client = client;
        this.uri = uri;
        this.timeout = timeout;
        this.thread = Thread.ofVirtual().start(this::run);
    }

    private void run() {
        try {
            while (!stopped) {
                results.add(send());
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Result send() throws InterruptedException {
        HttpRequest.Builder builder = HttpRequest.newBuilder(uri).timeout(timeout);
        if (post) {
            builder.POST(HttpRequest.BodyPublishers.ofString("story"));
        }
        HttpRequest request = builder.build();
        long start = System.nanoTime();
        try {
            HttpResponse<String> response =
                    client.send(request, HttpResponse.BodyHandlers.ofString());
            String outcome = response.headers().firstValue("Azureshed-Outcome").orElse("");
            return new Result(response.statusCode(), outcome, response.body(), millisSince(start));
        } catch (ConnectException e) {
            URI nextUri = failoverUri;
            if (nextUri == null) {
                return new Result(0, "", e.toString(), millisSince(start));
            }
            failoverUri = null;
            uri = nextUri;
            return send();
        } catch (IOException e) {
            return new Result(0, "", e.toString(), millisSince(start));
        }
    }

    private static long millisSince(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Results of the completed requests, in the order in which they were sent. */
    List<Result> results() {
        return results;
    }

    List<Result> matching(Predicate<Result> condition) {
        return results.stream().filter(condition).toList();
    }

    /** Sets the URI to switch to, once, when a connection to the current one is refused. */
    void failOverTo(URI nextUri) {
        failoverUri = nextUri;
    }

    /** Sends no more requests and waits for the result of the last one. */
    void stop() throws InterruptedException {
        stopped = true;
        thread.join(STOP_TIMEOUT_MILLIS);
    }

    @Override
    public void close() {
        stopped = true;
        thread.interrupt();
    }
}
