package org.azureshed.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Handles the requests of a sample target. Query parameters choose the response: {@code ms}
 * (processing time in milliseconds), {@code bytes} (size of the body), {@code status}, {@code cut}
 * (close the connection after that many bytes of the body) and {@code crash} (halt the process).
 * The path {@code /starts} returns how often the processing of each {@code Idempotency-Key} was
 * started, as JSON.
 */
final class SampleTargetHandler extends Handler.Abstract {
    private static final int CHUNK_BYTES = 16 * 1024;
    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int CRASH_EXIT_CODE = 137;

    private final String id;
    private final int slots;
    private final long workMillis;
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicLong runs = new AtomicLong();

    /** Number of started runs by {@code Idempotency-Key}. */
    private final Map<String, Integer> startsByKey = new ConcurrentSkipListMap<>();

    SampleTargetHandler(String id, int slots, long workMillis) {
        this.id = id;
        this.slots = slots;
        this.workMillis = workMillis;
    }

    void awaitIdle() throws InterruptedException {
        while (inFlight.get() > 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) throws Exception {
        String exchange = request.getHeaders().get("Azureshed-Exchange");
        if (exchange != null) {
            response.getHeaders().put("Azureshed-Exchange", exchange);
        }
        if (inFlight.incrementAndGet() > slots || startsTooLate(request)) {
            inFlight.decrementAndGet();
            shed(response, callback);
            return true;
        }
        try {
            run(request, response);
            callback.succeeded();
        } catch (IOException e) {
            callback.failed(e);
        } finally {
            inFlight.decrementAndGet();
        }
        return true;
    }

    private static boolean startsTooLate(Request request) {
        String startBy = request.getHeaders().get("Azureshed-Start-By-Epoch-Ms");
        return startBy != null && System.currentTimeMillis() > Long.parseLong(startBy);
    }

    private static void shed(Response response, Callback callback) {
        response.setStatus(SERVICE_UNAVAILABLE);
        response.getHeaders().put("Azureshed-Shed", "true");
        callback.succeeded();
    }

    private void run(Request request, Response response) throws Exception {
        if (request.getHttpURI().getPath().equals("/starts")) {
            writeJson(new ObjectMapper().writeValueAsString(startsByKey), response);
            return;
        }
        long run = runs.incrementAndGet();
        String key = request.getHeaders().get("Idempotency-Key");
        if (key != null) {
            startsByKey.merge(key, 1, Integer::sum);
        }
        Fields query = Request.extractQueryParameters(request);
        if (query.get("crash") != null) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        long bodyBytes = drainBody(request);
        TimeUnit.MILLISECONDS.sleep(numberParameter(query, "ms", workMillis));
        response.setStatus((int) numberParameter(query, "status", OK));
        if (query.get("bytes") != null) {
            writeBytes(query, response);
            return;
        }
        String text =
                "{\"target\":\"%s\",\"method\":\"%s\",\"path\":\"%s\",\"run\":%d,\"body_bytes\":%d}\n"
                        .formatted(
                                id,
                                request.getMethod(),
                                request.getHttpURI().getPath(),
                                run,
                                bodyBytes);
        writeJson(text, response);
    }

    private static void writeJson(String text, Response response) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        try (OutputStream output = Content.Sink.asOutputStream(response)) {
            output.write(body);
        }
    }

    private static long drainBody(Request request) throws IOException {
        byte[] buffer = new byte[CHUNK_BYTES];
        long total = 0;
        try (InputStream input = Content.Source.asInputStream(request)) {
            int count;
            while ((count = input.read(buffer)) >= 0) {
                total += count;
            }
        }
        return total;
    }

    private static void writeBytes(Fields query, Response response) throws IOException {
        long size = numberParameter(query, "bytes", 0);
        long cut = numberParameter(query, "cut", Long.MAX_VALUE);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, size);
        OutputStream output = Content.Sink.asOutputStream(response);
        byte[] chunk = new byte[CHUNK_BYTES];
        long sent = 0;
        while (sent < size) {
            if (sent >= cut) {
                throw new IOException("response cut off, as requested by the parameter cut");
            }
            int count = (int) Math.min(chunk.length, size - sent);
            output.write(chunk, 0, count);
            sent += count;
        }
        output.close();
    }

    private static long numberParameter(Fields query, String name, long defaultValue) {
        String value = query.getValue(name);
        return value == null ? defaultValue : Long.parseLong(value);
    }
}
