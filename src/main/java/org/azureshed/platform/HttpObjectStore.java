package org.azureshed.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
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
import org.azureshed.http.CleanConnectionFactory;
import org.azureshed.json.JsonFields;
import org.azureshed.json.JsonSlice;
import org.azureshed.telemetry.EventLog;
import org.azureshed.telemetry.UnusableEntries;

/**
 * Client of the platform's object API over HTTP.
 *
 * <p>Calls are not retried. A write whose connection fails before the first byte is sent returns
 * {@link StoreError.Unavailable}; if it fails later, {@link StoreError.OutcomeUnknown}.
 */
public final class HttpObjectStore implements ObjectStore, AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_CONNECTIONS = 32;
    private static final int MAX_RESPONSE_BYTES = 64 << 20;
    private static final byte[] EMPTY = {};

    private final ObjectMapper json = new ObjectMapper();
    private final UnusableEntries unreadable =
            new UnusableEntries(
                    kind -> {},
                    (kind, name, cause) ->
                            EventLog.warning("object_unreadable")
                                    .with("kind", kind)
                                    .with("name", name)
                                    .with("cause", cause)
                                    .write());
    private final URI base;
    private final Duration responseTimeout;
    private final CloseableHttpClient client;

    /** JSON form of one object in a listing. {@code value} is Base64 on the wire. */
    @JsonIgnoreProperties(ignoreUnknown = true)
    private record WireObject(
            String kind, String name, long version, byte[] value, boolean deleted) {}

    /** A complete HTTP response; {@code version} and {@code serverTimeMillis} are 0 if not sent. */
    private record Response(int status, long version, long serverTimeMillis, byte[] body) {}

    /**
     * Creates a client with a connect timeout of 1 s and a response timeout of 3 s.
     *
     * @param base address of the platform, without a path
     */
    public HttpObjectStore(URI base) {
        this(base, CONNECT_TIMEOUT, RESPONSE_TIMEOUT);
    }

    /**
     * Creates a client.
     *
     * @param base address of the platform, without a path
     * @param connectTimeout longest wait for a TCP connection
     * @param responseTimeout longest wait for response data; watches add their own timeout to it
     */
    public HttpObjectStore(URI base, Duration connectTimeout, Duration responseTimeout) {
        this.base = base;
        this.responseTimeout = responseTimeout;
        ConnectionConfig connections =
                ConnectionConfig.custom()
                        .setConnectTimeout(Timeout.of(connectTimeout))
                        // Checked before every use: a write on a pooled connection that the
                        // platform has closed would fail.
                        .setValidateAfterInactivity(TimeValue.ZERO_MILLISECONDS)
                        .build();
        client =
                HttpClients.custom()
                        .setConnectionManager(
                                PoolingHttpClientConnectionManagerBuilder.create()
                                        .setConnectionFactory(
                                                new CleanConnectionFactory(Duration.ZERO))
                                        .setDefaultConnectionConfig(connections)
                                        .setMaxConnTotal(MAX_CONNECTIONS)
                                        .setMaxConnPerRoute(MAX_CONNECTIONS)
                                        .build())
                        .setRequestExecutor(new SendTrackingExecutor())
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
                        response ->
                                switch (response.status()) {
                                    case 200 ->
                                            Either.right(
                                                    storedObject(key, response, response.body()));
                                    case 404 -> Either.left(new StoreError.NotFound(key));
                                    default -> Either.left(failure(response, false));
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
                        response ->
                                response.status() == 413
                                        ? Either.left(
                                                new StoreError.TooLarge(
                                                        value.length, MAX_VALUE_BYTES))
                                        : writeResult(key, response, value, false));
    }

    @Override
    public Either<StoreError, StoredObject> delete(ObjectKey key, long expectedVersion) {
        HttpDelete request =
                new HttpDelete(uri("/objects/" + key + "?ifVersion=" + expectedVersion));
        return write(key, request).flatMap(response -> writeResult(key, response, EMPTY, true));
    }

    @Override
    public Either<StoreError, Listing> list(String kind) {
        return send(new HttpGet(uri("/objects/" + kind)), Duration.ZERO, false)
                .flatMap(response -> listing(kind, response));
    }

    @Override
    public Either<StoreError, Listing> watch(String kind, long sinceVersion, Duration timeout) {
        String query = "?since=" + sinceVersion + "&timeoutMs=" + timeout.toMillis();
        return send(new HttpGet(uri("/watch/" + kind + query)), timeout, false)
                .flatMap(
                        response ->
                                response.status() == 410
                                        ? Either.left(new StoreError.Compacted(sinceVersion))
                                        : listing(kind, response));
    }

    /** Closes all connections. Calls in flight fail. */
    @Override
    public void close() {
        client.close(org.apache.hc.core5.io.CloseMode.IMMEDIATE);
    }

    private URI uri(String pathAndQuery) {
        return base.resolve(pathAndQuery);
    }

    private Either<StoreError, Response> write(ObjectKey key, HttpUriRequestBase request) {
        return send(request, Duration.ZERO, true)
                .flatMap(
                        response ->
                                response.status() == 409
                                        ? Either.left(
                                                new StoreError.Conflict(key, response.version()))
                                        : Either.right(response));
    }

    private static Either<StoreError, StoredObject> writeResult(
            ObjectKey key, Response response, byte[] value, boolean deleted) {
        if (response.status() != 200) {
            return Either.left(failure(response, true));
        }
        if (response.version() <= 0) {
            return Either.left(new StoreError.OutcomeUnknown("the response has no version"));
        }
        return Either.right(
                new StoredObject(
                        key, response.version(), value, deleted, response.serverTimeMillis()));
    }

    private static StoredObject storedObject(ObjectKey key, Response response, byte[] value) {
        return new StoredObject(key, response.version(), value, false, response.serverTimeMillis());
    }

    private Either<StoreError, Listing> listing(String kind, Response response) {
        if (response.status() != 200) {
            return Either.left(failure(response, false));
        }
        try {
            JsonSlice listing = JsonSlice.of(response.body());
            long version =
                    JsonFields.wholeNumber(
                            json.createObjectNode()
                                    .set("version", member(listing, "version").parse(json)),
                            "version",
                            0,
                            Long.MAX_VALUE);
            List<StoredObject> objects = new ArrayList<>();
            List<String> unreadableNames = new ArrayList<>();
            for (JsonSlice entry : member(listing, "entries").elements()) {
                try {
                    objects.add(storedObject(entry, response.serverTimeMillis()));
                } catch (IOException | IllegalArgumentException e) {
                    String name = name(entry);
                    unreadableNames.add(name);
                    unreadable.report(kind, name, e.getMessage());
                }
            }
            return Either.right(new Listing(version, objects, unreadableNames));
        } catch (IOException | IllegalArgumentException e) {
            return Either.left(new StoreError.Unavailable("malformed listing: " + e.getMessage()));
        }
    }

    private StoredObject storedObject(JsonSlice entry, long serverTimeMillis) throws IOException {
        WireObject object = json.treeToValue(entry.parse(json), WireObject.class);
        if (object == null
                || object.kind() == null
                || object.name() == null
                || object.value() == null && !object.deleted()) {
            throw new IOException("a field of the object is missing");
        }
        return new StoredObject(
                new ObjectKey(object.kind(), object.name()),
                object.version(),
                object.value() == null ? EMPTY : object.value(),
                object.deleted(),
                serverTimeMillis);
    }

    private static JsonSlice member(JsonSlice object, String name) throws IOException {
        return object.member(name).orElseThrow(() -> new IOException("no field " + name));
    }

    /** Returns the name of an object that is otherwise unreadable; empty if the name is, too. */
    private String name(JsonSlice entry) {
        try {
            return member(entry, "name").parse(json).asText();
        } catch (IOException e) {
            return "";
        }
    }

    private static StoreError failure(Response response, boolean write) {
        String detail = "status " + response.status();
        return switch (response.status()) {
            case 429 -> new StoreError.RateLimited(detail);
            case 500, 502, 504 ->
                    write
                            ? new StoreError.OutcomeUnknown(detail)
                            : new StoreError.Unavailable(detail);
            default -> new StoreError.Unavailable(detail);
        };
    }

    private Either<StoreError, Response> send(
            HttpUriRequestBase request, Duration extraWait, boolean write) {
        request.setConfig(
                RequestConfig.custom()
                        .setResponseTimeout(Timeout.of(responseTimeout.plus(extraWait)))
                        .setConnectionRequestTimeout(Timeout.of(responseTimeout))
                        .build());
        HttpClientContext context = HttpClientContext.create();
        try {
            return Either.right(client.execute(request, context, HttpObjectStore::read));
        } catch (IOException e) {
            String detail = e.getClass().getSimpleName() + ": " + e.getMessage();
            boolean sent = context.getAttribute(SendTrackingExecutor.SENT_ATTRIBUTE) != null;
            return Either.left(
                    write && sent
                            ? new StoreError.OutcomeUnknown(detail)
                            : new StoreError.Unavailable(detail));
        }
    }

    private static Response read(ClassicHttpResponse response) throws IOException {
        byte[] body =
                response.getEntity() == null
                        ? EMPTY
                        : EntityUtils.toByteArray(response.getEntity(), MAX_RESPONSE_BYTES);
        return new Response(
                response.getCode(),
                longHeader(response.getFirstHeader("Platform-Version")),
                longHeader(response.getFirstHeader("Platform-Time-Millis")),
                body);
    }

    private static long longHeader(Header header) throws IOException {
        try {
            return header == null ? 0 : Long.parseLong(header.getValue());
        } catch (NumberFormatException e) {
            throw new IOException("malformed header " + header, e);
        }
    }

    /**
     * Sets {@link #SENT_ATTRIBUTE} in the request's context once a connection exists and the
     * request is about to be written to it.
     */
    private static final class SendTrackingExecutor extends HttpRequestExecutor {
        static final String SENT_ATTRIBUTE = "azureshed.sent";

        @Override
        public ClassicHttpResponse execute(
                ClassicHttpRequest request,
                HttpClientConnection connection,
                HttpResponseInformationCallback callback,
                HttpContext context)
                throws IOException, HttpException {
            context.setAttribute(SENT_ATTRIBUTE, true);
            return super.execute(request, connection, callback, context);
        }
    }
}
