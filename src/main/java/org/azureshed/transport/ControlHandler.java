package org.azureshed.transport;

import org.azureshed.generated.ControlMessage;

/** Receives messages that peers send. */
@FunctionalInterface
public interface ControlHandler {
    /**
     * Called on the event loop thread, so it must not block.
     *
     * @param message a request, or a message that needs no reply
     * @param reply takes the reply, on any thread and at any time; ignores it if none is needed
     */
    void received(ControlMessage message, Replier reply);

    /** Sends the reply of one request. */
    @FunctionalInterface
    interface Replier {
        /**
         * Sends the reply. It is dropped if the connection has closed meanwhile; the peer then sees
         * the closed connection.
         *
         * @param message the reply; its request id is set by the transport
         */
        void reply(ControlMessage message);
    }
}
