package org.azureshed.proxy;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManager;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.pool.PoolConcurrencyPolicy;
import org.apache.hc.core5.util.TimeValue;
import org.apache.hc.core5.util.Timeout;
import org.azureshed.http.CleanConnectionFactory;
import org.azureshed.model.Endpoint;
import org.azureshed.model.Outcome;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.UnknownCause;

/**
 * Sends requests to nodes or targets, with one exchange at a time per connection. It never sends a
 * request twice on its own: automatic retries, redirects, authentication, cookies and content
 * decoding of the HTTP library are disabled.
 */
final class ForwardClient implements AutoCloseable {
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofMilliseconds(1_000);

    /**
     * Longest wait of the entry side for the host side's admission decision on a large request.
     * After this timeout the library sends the body without a decision, so the timeout is longer
     * than any queueing time.
     */
    private static final Timeout WAIT_FOR_CONTINUE = Timeout.ofMinutes(10);

    private static final Timeout BODY_IDLE_TIMEOUT = Timeout.ofSeconds(60);

    /**
     * Shorter than the idle timeout of the nodes' listeners (60 s), to avoid writing a request to a
     * connection that the peer is closing.
     */
    private static final TimeValue MAX_IDLE = TimeValue.ofSeconds(20);

    private static final Duration CHECK_CLOSE_AFTER = Duration.ofSeconds(1);
    private static final int MAX_CONNECTIONS_PER_PEER = 350;
    private static final int MAX_CONNECTIONS = 4_000;

    private final CloseableHttpClient client;
    private final RefusalReason unreachable;
    private final UnknownCause connectionLost;

    ForwardClient(RefusalReason unreachable, UnknownCause connectionLost) {
        this.unreachable = unreachable;
        this.connectionLost = connectionLost;
        this.client =
                HttpClients.custom()
                        .setConnectionManager(connectionManager())
                        .setRequestExecutor(new SentMarker(WAIT_FOR_CONTINUE, BODY_IDLE_TIMEOUT))
                        .disableAutomaticRetries()
                        .disableRedirectHandling()
                        .disableCookieManagement()
                        .disableAuthCaching()
                        .disableContentCompression()
                        .disableConnectionState()
                        .disableDefaultUserAgent()
                        .evictExpiredConnections()
                        .evictIdleConnections(MAX_IDLE)
                        .build();
    }

    private static PoolingHttpClientConnectionManager connectionManager() {
        return PoolingHttpClientConnectionManagerBuilder.create()
                .setConnectionFactory(new CleanConnectionFactory(CHECK_CLOSE_AFTER))
                .setPoolConcurrencyPolicy(PoolConcurrencyPolicy.LAX)
                .setMaxConnPerRoute(MAX_CONNECTIONS_PER_PEER)
                .setMaxConnTotal(MAX_CONNECTIONS)
                .setDefaultSocketConfig(SocketConfig.custom().setTcpNoDelay(true).build())
                .setDefaultConnectionConfig(
                        ConnectionConfig.custom()
                                .setConnectTimeout(CONNECT_TIMEOUT)
                                .setSocketTimeout(BODY_IDLE_TIMEOUT)
                                .setValidateAfterInactivity(TimeValue.ZERO_MILLISECONDS)
                                .build())
                .build();
    }

    /**
     * Sends one request.
     *
     * @param peer address of the node or target
     * @param request method, path and headers; the entity is set from {@code body}
     * @param body body to send
     * @param awaitContinue whether to send the body only after the peer has accepted the head
     * @param timeLeft longest wait for the head of the answer
     * @param inFlight receives progress of the request and gives the cause of a cancellation
     * @return the answer or a typed failure
     */
    ForwardResult send(
            Endpoint peer,
            CancellableRequest request,
            RequestBody body,
            boolean awaitContinue,
            Duration timeLeft,
            InFlight inFlight) {
        request.setEntity(body.entity(inFlight::progressed));
        HttpClientContext context = HttpClientContext.create();
        Timeout timeout = Timeout.ofMilliseconds(Math.max(1, timeLeft.toMillis()));
        context.setRequestConfig(
                RequestConfig.custom()
                        .setConnectionRequestTimeout(timeout)
                        .setResponseTimeout(timeout)
                        .setExpectContinueEnabled(awaitContinue)
                        .setHardCancellationEnabled(true)
                        .build());
        HttpHost host = new HttpHost("http", peer.host(), peer.port());
        try {
            return new ForwardResult.Answer(client.executeOpen(host, request, context));
        } catch (CallerBodyException e) {
            return failed(context, UnknownCause.REQUEST_ABORTED, inFlight, e);
        } catch (SocketTimeoutException e) {
            return failed(context, UnknownCause.ANSWER_TIMEOUT, inFlight, e);
        } catch (IOException | RuntimeException e) {
            return failed(context, connectionLost, inFlight, e);
        }
    }

    private ForwardResult failed(
            HttpClientContext context, UnknownCause cause, InFlight inFlight, Exception e) {
        Outcome outcome =
                SentMarker.sent(context)
                        ? new Outcome.Unknown(inFlight.cancelCause().orElse(cause))
                        : new Outcome.NotRun(unreachable);
        return new ForwardResult.Failed(outcome, e.toString());
    }

    @Override
    public void close() throws IOException {
        client.close();
    }
}
