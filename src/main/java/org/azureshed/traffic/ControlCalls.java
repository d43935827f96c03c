package org.azureshed.traffic;

import java.util.function.Consumer;

/** Answers small calls that are not traffic. */
@FunctionalInterface
public interface ControlCalls {
    /**
     * An answer.
     *
     * @param status HTTP status
     * @param contentType type of the body
     * @param body the body; may be empty
     */
    record Reply(int status, String contentType, byte[] body) {
        private static final byte[] EMPTY = {};

        /**
         * An answer without a body.
         *
         * @param status HTTP status
         * @return the answer
         */
        public static Reply of(int status) {
            return new Reply(status, "text/plain", EMPTY);
        }
    }

    /**
     * Handles a call. Runs on the event loop and must not block.
     *
     * @param method HTTP method
     * @param path path and query
     * @param body whole body
     * @param reply receives the answer, now or later, on the event loop
     */
    void handle(String method, String path, byte[] body, Consumer<Reply> reply);
}
