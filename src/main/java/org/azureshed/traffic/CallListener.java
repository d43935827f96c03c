package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/** Receives what happens to a call. All methods run on the event loop. */
interface CallListener {
    /** The connection is ready; the request can be written. */
    void connected();

    /** An interim response arrived. */
    default void informational(int status) {}

    /**
     * The head of a response arrived.
     *
     * @return false to skip this response, because it belongs to an earlier request
     */
    boolean head(HttpResponse response);

    /** A part of the body arrived. The buffer is released after the call. */
    void content(ByteBuf data);

    /** The response is complete. No further call follows. */
    void end();

    /** The call ended without a whole response. No further call follows. */
    void failed(CallFailure failure);
}
