package org.azureshed.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import org.apache.hc.client5.http.classic.methods.HttpDelete;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.classic.methods.HttpPut;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.io.HttpResponseInformationCallback;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;

/**
 * Client of the platform's object API over HTTP.
 *
 * <p>No call is repeated by itself. A write whose connection fails before its first byte is sent is
 * {@link StoreError.Unavailable}; after that it is {@link StoreError.OutcomeUnknown}.
 */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_CONNECTIONS = 32;
    private static final int MAX_ANSWER_BYTES = 64 << 20;
    private static final byte[] EMPTY = {};

    private final ObjectMapper json = new ObjectMapper();
    private final URI base;
    private final Duration answerTimeout;
    private final CloseableHttpClient client;

    /** A listing as the platform sends it. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record WireListing(long version, List<WireObject> entries) {}

    /** An object of a listing as the platform sends it. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record WireObject(
            String kind, String name, long version, byte[] value, boolean deleted) {}

    /** A whole answer. */
    private record Answer(int status, long version, long serverTimeMillis, byte[] body) {}

    /**
     * Creates a client that waits 1 s for a connection and 3 s for an answer.
     *
     * @param base address of the platform, without a path
     */
    public HttpObjectStore(URI base) {
        this(base, CONNECT_TIMEOUT, ANSWER_TIMEOUT);
    }

    /**
     * Creates a client.
     *
     * @param base address of the platform, without a path
     * @param connectTimeout longest wait for a connection
     * @param answerTimeout longest wait for data of an answer, beyond the timeout of a watch
     */
    public HttpObjectStore(URI base, Duration connectTimeout, Duration answerTimeout) {
        this.base = base;
        this.answerTimeout = answerTimeout;
        ConnectionConfig connections =
                ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.of(connectTimeout))
                        // A kept connection that the platform has closed must not cost a write.
                        .setValidateAfterInactivity(TimeValue.ZERO_MILLISECONDS)
                        .build();
        client =
                HttpClients.custom()
                        .setConnectionManager(
                                PoolingHttpClientConnectionManagerBuilder.create()
                                        .setDefaultConnectionConfig(connections)
                                        .setMaxConnTotal(MAX_CONNECTIONS)
                                        .setMaxConnPerRoute(MAX_CONNECTIONS)
                                        .build())
                        .setRequestExecutor(new MarkingExecutor())
                        .setDefaultRequestConfig(
                                RequestConfig.custom()
                                        .setConnectionRequestTimeout(Timeout.of(connectTimeout))
                                        .build())
                        .disableAutomaticRetries()
                        .disableRedirectHandling()
                        .disableCookieManagement()
                        .disableAuthCaching()
                        .disableContentCompression()
                        .build();
    }

    @Override
    public Either<StoreError, StoredObject> get(ObjectKey key) {
        return send(new HttpGet(uri("/objects/" + key)), Duration.ZERO, false)
                .flatMap(
                        answer ->
                                switch (answer.status()) {
                                    case 200 -> Either.right(stored(key, answer, answer.body()));
                                    case 404 -> Either.left(new StoreError.NotFound(key));
                                    default -> Either.left(failure(answer, false));
                                });
    }

    @Override
    public Either<StoreError, StoredObject> put(ObjectKey key, byte[] value, long expectedVersion) {
        if (value.length > MAX_VALUE_BYTES) {
            return Either.left(new StoreError.TooLarge(value.length, MAX_VALUE_BYTES));
        }
        HttpPut request = new HttpPut(uri("/objects/" + key + "?ifVersion=" + expectedVersion));
        request.setEntity(new ByteArrayEntity(value, ContentType.APPLICATION_OCTET_STREAM));
        return write(key, request)
                .flatMap(
                        answer ->
                                answer.status() == 413
                                        ? Either.left(
                                                new StoreError.TooLarge(
                                                        value.length, MAX_VALUE_BYTES))
                                        : written(key, answer, value, false));
    }

    @Override
    public Either<StoreError, StoredObject> delete(ObjectKey key, long expectedVersion) {
        HttpDelete request =
                new HttpDelete(uri("/objects/" + key + "?ifVersion=" + expectedVersion));
        return write(key, request).flatMap(answer -> written(key, answer, EMPTY, true));
    }

    @Override
    public Either<StoreError, Listing> list(String kind) {
        return send(new HttpGet(uri("/objects/" + kind)), Duration.ZERO, false)
                .flatMap(this::listing);
    }

    @Override
    public Either<StoreError, Listing> watch(String kind, long sinceVersion, Duration timeout) {
        String query = "?since=" + sinceVersion + "&timeoutMs=" + timeout.toMillis();
        return send(new HttpGet(uri("/watch/" + kind + query)), timeout, false)
                .flatMap(
                        answer ->
                                answer.status() == 410
                                        ? Either.left(new StoreError.Compacted(sinceVersion))
                                        : listing(answer));
    }

    /** Closes all connections; waiting calls fail. */
    @Override
    public void close() {
        client.close(org.apache.hc.core5.io.CloseMode.IMMEDIATE);
    }

    private URI uri(String pathAndQuery) {
        return base.resolve(pathAndQuery);
    }

    private Either<StoreError, Answer> write(ObjectKey key, HttpUriRequestBase request) {
        return send(request, Duration.ZERO, true)
                .flatMap(
                        answer ->
                                answer.status() == 409
                                        ? Either.left(
                                                new StoreError.Conflict(key, answer.version()))
                                        : Either.right(answer));
    }

    private static Either<StoreError, StoredObject> written(
            ObjectKey key, Answer answer, byte[] value, boolean deleted) {
        if (answer.status() != 200) {
            return Either.left(failure(answer, true));
        }
        if (answer.version() <= 0) {
            return Either.left(new StoreError.OutcomeUnknown("an answer without a version"));
        }
        return Either.right(
                new StoredObject(key, answer.version(), value, deleted, answer.serverTimeMillis()));
    }

    private static StoredObject stored(ObjectKey key, Answer answer, byte[] value) {
        return new StoredObject(key, answer.version(), value, false, answer.serverTimeMillis());
    }

    private Either<StoreError, Listing> listing(Answer answer) {
        if (answer.status() != 200) {
            return Either.left(failure(answer, false));
        }
        try {
            WireListing wire = json.readValue(answer.body(), WireListing.class);
            List<StoredObject> objects =
                    wire.entries().stream()
                            .map(object -> stored(object, answer.serverTimeMillis()))
                            .toList();
            return Either.right(new Listing(wire.version(), objects));
        } catch (IOException e) {
            return Either.left(new StoreError.Unavailable("malformed listing: " + e.getMessage()));
        }
    }

    private static StoredObject stored(WireObject object, long serverTimeMillis) {
        return new StoredObject(
                new ObjectKey(object.kind(), object.name()),
                object.version(),
                object.value(),
                object.deleted(),
                serverTimeMillis);
    }

    private static StoreError failure(Answer answer, boolean write) {
        String detail = "status " + answer.status();
        return switch (answer.status()) {
            case 429 -> new StoreError.RateLimited(detail);
            case 500, 502, 504 ->
                    write
                            ? new StoreError.OutcomeUnknown(detail)
                            : new StoreError.Unavailable(detail);
            default -> new StoreError.Unavailable(detail);
        };
    }

    private Either<StoreError, Answer> send(
            HttpUriRequestBase request, Duration extraWait, boolean write) {
        request.setConfig(
                RequestConfig.custom()
                        .setResponseTimeout(Timeout.of(answerTimeout.plus(extraWait)))
                        .setConnectionRequestTimeout(Timeout.of(answerTimeout))
                        .build());
        HttpClientContext context = HttpClientContext.create();
        try {
            return Either.right(client.execute(request, context, HttpObjectStore::read));
        } catch (IOException e) {
            String detail = e.getClass().getSimpleName() + ": " + e.getMessage();
            boolean sent = context.getAttribute(MarkingExecutor.SENT) != null;
            return Either.left(
                    write && sent
                            ? new StoreError.OutcomeUnknown(detail)
                            : new StoreError.Unavailable(detail));
        }
    }

    private static Answer read(ClassicHttpResponse response) throws IOException {
        byte[] body =
                response.getEntity() == null
                        ? EMPTY
                        : EntityUtils.toByteArray(response.getEntity(), MAX_ANSWER_BYTES);
        return new Answer(
                response.getCode(),
                number(response.getFirstHeader("Platform-Version")),
                number(response.getFirstHeader("Platform-Time-Millis")),
                body);
    }

    private static long number(Header header) throws IOException {
        try {
            return header == null ? 0 : Long.parseLong(header.getValue());
        } catch (NumberFormatException e) {
            throw new IOException("malformed header " + header, e);
        }
    }

    /** Notes in the context that a connection was there and that sending began. */
    private static final class MarkingExecutor extends HttpRequestExecutor {
        static final String SENT = "azureshed.sent";

        @Override
        public ClassicHttpResponse execute(
                ClassicHttpRequest request,
                HttpClientConnection connection,
                HttpResponseInformationCallback callback,
                HttpContext context)
                throws IOException, HttpException {
            context.setAttribute(SENT, true);
            return super.execute(request, connection, callback, context);
        }
    }
}
