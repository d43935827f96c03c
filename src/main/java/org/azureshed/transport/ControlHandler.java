package org.azureshed.transport;

import org.azureshed.generated.ControlMessage;

/** Receives messages that peers send. */
@FunctionalInterface
public interface ControlHandler {
    /**
     * Handles a message. It is called on the event loop thread and must not block.
     *
     * @param message a request, or a message that needs no reply
     * @param reply sends the reply; may be called on any thread and at any later time, and has no
     *     effect if the message needs no reply
     */
    void received(ControlMessage message, Replier reply);

    /** Sends the reply of one request. */
    @FunctionalInterface
    interface Replier {
        /**
         * Sends the reply. It is dropped if the connection has closed in the meantime, which the
         * peer detects itself.
         *
         * @param message the reply; its request id is set by the transport
         */
        void reply(ControlMessage message);
    }
}
