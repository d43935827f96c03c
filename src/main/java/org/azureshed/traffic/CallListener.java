package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives the events of one outgoing HTTP call. All methods run on the event loop. */
interface CallListener {
    /**
     * The connection is ready and nothing was received on it; the request must be written at once.
     * Invoked before {@link ConnectionPool#acquire} returns if the connection is a pooled one.
     */
    void connected(ClientConnection connection);

    /** An interim (1xx) response arrived. */
    default void informational(int status) {}

    /**
     * The head of a response arrived.
     *
     * @return false to discard this response, because it belongs to an earlier request, and to
     *     await the next one
     */
    boolean head(HttpResponse response);

    /** A part of the body arrived. The buffer is released when this method returns. */
    void content(ByteBuf data);

    /** The response is complete. No further event follows. */
    void end();

    /** The call ended without a complete response. No further event follows. */
    void failed(CallFailure failure);
}
