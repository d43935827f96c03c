package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.azureshed.model.Endpoint;

/**
 * HTTP client for control requests to other nodes and to the store. Bodies are held in memory;
 * nothing is retried.
 *
 * <pre>{@code
 * client.send(address, "GET", "/status", new byte[0], 500, result -> ...);
 * }</pre>
 */
public final class ControlClient {
    /** A page of the store has about 1 MB, and the entries of 2,400 nodes less than that. */
    private static final int MAX_BODY_BYTES = 4 << 20;

    private final EventLoop loop;
    private final ConnectionPool connections;
    private final TrafficEvents events;

    /** How a call ended. */
    public sealed interface Result {
        /**
         * A response arrived.
         *
         * @param status HTTP status
         * @param body complete body; may be empty
         * @param headers headers of the response
         */
        record Response(int status, byte[] body, HttpHeaders headers) implements Result {}

        /**
         * No complete response arrived.
         *
         * @param cause short description for the log
         * @param mayHaveArrived whether the server may have executed the request
         */
        record NoResponse(String cause, boolean mayHaveArrived) implements Result {}
    }

    /**
     * Creates a client.
     *
     * @param loop event loop of the connections
     * @param connections pool of the connections
     * @param events receives exceptions of the receivers of results
     */
    public ControlClient(EventLoop loop, ConnectionPool connections, TrafficEvents events) {
        this.loop = loop;
        this.connections = connections;
        this.events = events;
    }

    /**
     * Sends a request.
     *
     * @param address endpoint of the server, with an IP address
     * @param method HTTP method
     * @param path path and query
     * @param body JSON body; empty for none
     * @param timeoutMillis timeout until the complete response
     * @param done receives the result, once, on the event loop
     */
    public void send(
            Endpoint address,
            String method,
            String path,
            byte[] body,
            long timeoutMillis,
            Consumer<Result> done) {
        Call call = new Call(address, method, path, body, done);
        var timeout = loop.schedule(call::timedOut, timeoutMillis, TimeUnit.MILLISECONDS);
        call.timeout = () -> timeout.cancel(false);
        call.connection = connections.acquire(address, Long.MAX_VALUE, call);
    }

    /**
     * Closes the connections to a server that no call uses.
     *
     * @param address endpoint of the server
     */
    public void dropIdleConnections(Endpoint address) {
        connections.closeIdle(address);
    }

    private final class Call implements CallListener {
        private final Endpoint address;
        private final String method;
        private final String path;
        private final byte[] body;
        private final Consumer<Result> done;
        private final ByteBuf received = Unpooled.buffer(0);
        private Runnable timeout;
        private ClientConnection connection;
        private boolean sent;
        private boolean ended;
        private int status;
        private HttpHeaders headers;

        Call(Endpoint address, String method, String path, byte[] body, Consumer<Result> done) {
            this.address = address;
            this.method = method;
            this.path = path;
            this.body = body;
            this.done = done;
        }

        @Override
        public void connected(ClientConnection connected) {
            connection = connected;
            DefaultHttpRequest request =
                    new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), path);
            request.headers().set(HttpHeaderNames.HOST, address.toString());
            if (body.length > 0) {
                request.headers()
                        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
                        .set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            sent = true;
            connection.write(request);
            connection.write(new DefaultLastHttpContent(Unpooled.wrappedBuffer(body)));
            connection.flush();
        }

        @Override
        public boolean head(HttpResponse response) {
            status = response.status().code();
            headers = response.headers();
            return true;
        }

        @Override
        public void content(ByteBuf data) {
            if (received.readableBytes() + data.readableBytes() > MAX_BODY_BYTES) {
                connection.cancel();
                end(new Result.NoResponse("response too large", true));
                return;
            }
            received.writeBytes(data);
        }

        @Override
        public void end() {
            end(new Result.Response(status, ByteBufUtil.getBytes(received), headers));
        }

        @Override
        public void failed(CallFailure failure) {
            end(new Result.NoResponse(failure.name(), sent));
        }

        private void timedOut() {
            if (!ended) {
                connection.cancel();
                // Other connections of the same age may be as silent as this one.
                connections.closeIdle(address);
                end(new Result.NoResponse("timeout", sent));
            }
        }

        private void end(Result result) {
            if (!ended) {
                ended = true;
                timeout.run();
                try {
                    done.accept(result);
                } catch (RuntimeException e) {
                    events.unexpected("control_response", e);
                }
            }
        }
    }
}
