package org.azureshed.transport;

import org.azureshed.model.Endpoint;

/** Why a control message was not delivered or not answered. */
public sealed interface TransportError {
    /**
     * Explains the error and its remedy.
     *
     * @return one sentence
     */
    String message();

    /**
     * No connection could be opened, so the peer has not received the message.
     *
     * @param peer the peer
     * @param detail the error of the operating system or network library
     */
    record Unreachable(Endpoint peer, String detail) implements TransportError {
        @Override
        public String message() {
            return "no control connection to "
                    + peer
                    + " ("
                    + detail
                    + "); check that the node is running";
        }
    }

    /**
     * The connection closed before the reply arrived, so the peer may have received the message.
     *
     * @param peer the peer
     */
    record ConnectionLost(Endpoint peer) implements TransportError {
        @Override
        public String message() {
            return "the control connection to " + peer + " closed before the reply; send it again";
        }
    }

    /**
     * No reply arrived in time, so the peer may have received the message.
     *
     * @param peer the peer
     * @param timeoutMillis the time allowed, in milliseconds
     */
    record TimedOut(Endpoint peer, long timeoutMillis) implements TransportError {
        @Override
        public String message() {
            return peer + " sent no reply within " + timeoutMillis + " ms; ask another node";
        }
    }

    /**
     * The message exceeds the maximum frame size and was not sent.
     *
     * @param bytes size of the message in bytes
     * @param limit largest size in bytes
     */
    record TooLarge(int bytes, int limit) implements TransportError {
        @Override
        public String message() {
            return "the message has " + bytes + " bytes, the limit is " + limit + "; split it";
        }
    }

    /**
     * A limit on connections, open requests or unsent bytes was reached; the message was not sent.
     *
     * @param peer the peer
     * @param detail the limit that was reached
     */
    record Overloaded(Endpoint peer, String detail) implements TransportError {
        @Override
        public String message() {
            return "message to " + peer + " not sent (" + detail + "); wait and try again";
        }
    }

    /**
     * The listener could not be opened.
     *
     * @param endpoint the address to listen on
     * @param detail the error of the operating system or network library
     */
    record NotListening(Endpoint endpoint, String detail) implements TransportError {
        @Override
        public String message() {
            return "cannot listen on " + endpoint + " (" + detail + "); choose a free address";
        }
    }

    /** The transport was closed; the message was not sent. */
    record Closed() implements TransportError {
        @Override
        public String message() {
            return "the control transport is closed; the node is stopping";
        }
    }
}
