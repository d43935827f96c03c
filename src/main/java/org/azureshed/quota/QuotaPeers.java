package org.azureshed.quota;

import java.util.List;
import java.util.Optional;

/** The other nodes, as the coordinator of quotas reaches them. */
public interface QuotaPeers {
    /** Receives the outcome of a call. */
    @FunctionalInterface
    interface ReplyListener {
        /**
         * Handles the outcome.
         *
         * @param reply the reply, or empty if none came in time
         * @param nowNanos current time
         */
        void onReply(Optional<QuotaMessage.Reply> reply, long nowNanos);
    }

    /**
     * Lists the names of all known nodes, this one included.
     *
     * @return names in any order
     */
    List<String> names();

    /**
     * Sends a message.
     *
     * @param node name of the receiver
     * @param message the message
     * @param timeoutMillis time in milliseconds after which there is no reply
     * @param listener receives the outcome, exactly once
     */
    void call(String node, QuotaMessage message, long timeoutMillis, ReplyListener listener);
}
