package org.azureshed.simulation;

/** Something that a party does or that happens to it, as the platform's pages allow. */
sealed interface Action {
    /** Node index that stands for all nodes, and for the store as the end of a link. */
    int ALL = -1;

    /** Ends a process, or all, without notice; it starts again later. */
    record Kill(int node, long downMillis) implements Action {}

    /** Stops a process as planned; it starts again when it has exited. */
    record Terminate(int node) implements Action {}

    /** Stops the execution of a process for a time. */
    record Freeze(int node, long millis) implements Action {}

    /** Steps the wall clock of a node. */
    record StepClock(int node, long byMillis) implements Action {}

    /** Holds up what one node sends to another, or to or from the store. */
    record Cut(int from, int to, boolean bothWays, long millis) implements Action {}

    /** Resets the connections between two nodes, or a node and the store. */
    record ResetLink(int first, int second) implements Action {}

    /** The store fails for one node or for all. */
    record StoreFailure(StoreParty.Fault fault, int node, long millis) implements Action {}

    /** The store discards its history of changes. */
    record DropHistory() implements Action {}

    /** The operator stores the next version of the configuration. */
    record Publish() implements Action {}

    /** One in some answers of a target is given in another way for a time. */
    record Misbehave(int node, Answering answering, int oneIn, long millis) implements Action {}

    /** A target ends without notice; it, or another one, starts later at its address. */
    record Crash(int node, long downMillis, boolean sameId) implements Action {}

    /** A target leaves as planned and serves for some time after that; another one follows. */
    record Leave(int node, Leaving leaving, long servesMillis, boolean sameId) implements Action {}

    /** A target sends a heartbeat that arrives late. */
    record LateHeartbeat(int node, long millis) implements Action {}

    /** The address of a target goes to one of the other service. */
    record ChangeService(int node, boolean signal) implements Action {}

    /** The callers of a node leave after a time, some at each request. */
    record CallersLeave(int node, long afterMillis, long millis) implements Action {}

    /** The callers of a node send their requests in small parts. */
    record CallersTrickle(int node, int partBytes, long millis) implements Action {}

    /** The callers of a node read answers late. */
    record CallersReadLate(int node, long lateMillis, long millis) implements Action {}

    /** How a target leaves. */
    enum Leaving {
        /** Reports draining, serves on, and deregisters. */
        DRAINING,
        /** Deregisters with its start time and serves on. */
        DELETE,
        /** Deregisters without a body and serves on. */
        DELETE_WITHOUT_BODY
    }

    /** How a target answers. */
    enum Answering {
        /** Runs the request and answers 500. */
        FAIL,
        /** Rejects the request as not executed. */
        SHED,
        /** Rejects the request as not executed, twice. */
        SHED_TWICE,
        /** Rejects the request as not executed, and once more before the next answer. */
        SHED_AGAIN_LATER,
        /** Runs the request and resets the connection. */
        RESET,
        /** Runs the request and closes the connection within the head of the answer. */
        CUT_HEAD,
        /** Runs the request and closes the connection within the body of the answer. */
        CUT_BODY,
        /** Runs the request and answers without a length; the end is the connection's end. */
        UNFRAMED,
        /** As before, but the connection is reset within the body. */
        UNFRAMED_RESET,
        /** As before, and before the body of the request has been read. */
        EARLY_UNFRAMED_RESET,
        /** Runs the request and answers twice. */
        TWICE,
        /** Runs the request and answers once more before the next answer. */
        AGAIN_LATER,
        /** Runs the request, answers, and sends the beginning of the answer again soon after. */
        PART_AGAIN_LATER,
        /** Runs the request and answers with a first line that is no status line. */
        ODD_LINE,
        /** Runs the request and answers when the caller has left. */
        SLOW,
        /** Runs the request and does not answer. */
        SILENT
    }
}
