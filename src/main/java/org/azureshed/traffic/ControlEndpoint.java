package org.azureshed.traffic;

import java.util.function.Consumer;

/** Handles control requests: health checks, heartbeats and messages between nodes. */
@FunctionalInterface
public interface ControlEndpoint {
    /**
     * The response to a control request.
     *
     * @param status HTTP status
     * @param contentType type of the body
     * @param body the body; may be empty
     */
    record Reply(int status, String contentType, byte[] body) {
        private static final byte[] EMPTY = {};

        /**
         * Creates a response without a body.
         *
         * @param status HTTP status
         * @return a response with an empty plain text body
         */
        public static Reply of(int status) {
            return new Reply(status, "text/plain", EMPTY);
        }
    }

    /**
     * Handles a request. Runs on the event loop and must not block.
     *
     * @param method HTTP method
     * @param path path and query
     * @param body complete body; empty if there is none
     * @param reply receives the response once, now or later, on the event loop
     */
    void handle(String method, String path, byte[] body, Consumer<Reply> reply);
}
