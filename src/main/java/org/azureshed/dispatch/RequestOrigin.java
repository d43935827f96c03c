package org.azureshed.dispatch;

/** What a request follows; decides how long it may wait and who goes first. */
public enum RequestOrigin {
    /** Nothing that this node knows of. */
    FIRST,
    /**
     * The answer to an earlier call of the same run at a target. If it is refused, the run fails
     * and the earlier call was in vain.
     */
    FOLLOW_UP
}
