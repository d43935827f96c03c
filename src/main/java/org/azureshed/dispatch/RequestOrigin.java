package org.azureshed.dispatch;

/** Whether a request is a follow-up call; decides its place in the queue and its longest wait. */
public enum RequestOrigin {
    /** Not known to follow another call. */
    FIRST,
    /**
     * Sent by a target after the answer to an earlier call, within the same request that the target
     * runs. If it is refused, that request fails and the work of the earlier call is wasted.
     */
    FOLLOW_UP
}
