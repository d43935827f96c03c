package org.azureshed.process;

import org.azureshed.platform.standin.StoreStandIn;

/** A fault or planned operation that the soak test applies from outside the processes. */
sealed interface SoakFault {
    /** A network link of a node. */
    enum Link {
        /** From the other nodes to the node. */
        PEERS,
        /** From the node to its target. */
        TARGET,
        /** From the node to the store. */
        STORE
    }

    /** What a target does with requests while it fails. */
    enum TargetFailureKind {
        /** Answers with status 500. */
        ERRORS,
        /** Resets the connection. */
        RESETS,
        /** Closes the connection before the end of the response. */
        TRUNCATED,
        /** Sends bytes that are not an HTTP response. */
        GARBAGE,
        /** Sends the response twice. */
        TWICE,
        /** Succeeds, fails or refuses, and sends a copy of each answer later, whole or begun. */
        COPIES,
        /** Sends no response. */
        NO_RESPONSE,
        /** Rejects the request without running it. */
        SHEDS,
        /** Answers late. */
        SLOW
    }

    /** The node is killed with SIGKILL and started after a pause. */
    record Kill(int node, long downMillis) implements SoakFault {}

    /** The node is frozen with SIGSTOP and resumed with SIGCONT. */
    record Pause(int node, long millis) implements SoakFault {}

    /** The node is stopped with SIGTERM and started after its exit. Planned. */
    record Terminate(int node) implements SoakFault {}

    /** The settings file of the node is rewritten, with or without SIGHUP. Planned. */
    record RewriteSettings(int node, boolean signal) implements SoakFault {}

    /** The node is killed with SIGKILL and started as if its clock had been set back meanwhile. */
    record ClockSetBack(int node) implements SoakFault {}

    /** One direction of a link is cut, or both if {@code direction} is null. */
    record Cut(int node, Link link, FaultInjectingRelay.Direction direction, long millis)
            implements SoakFault {}

    /** A link delays all bytes. */
    record Delay(int node, Link link, long delayMillis, long millis) implements SoakFault {}

    /** The open connections of a link are reset. */
    record ResetConnections(int node, Link link) implements SoakFault {}

    /** The open connections of a link stall permanently; new ones work. */
    record StallConnections(int node, Link link) implements SoakFault {}

    /** The store fails for all nodes. */
    record StoreFailure(StoreStandIn.Fault fault, long millis) implements SoakFault {}

    /** The store drops its change history. */
    record StoreHistoryLoss() implements SoakFault {}

    /** A target fails a share of its requests. */
    record TargetFailure(int node, TargetFailureKind kind, double probability, long millis)
            implements SoakFault {}

    /** A target crashes and another one starts at the same address. */
    record TargetCrash(int node, long downMillis) implements SoakFault {}

    /** A target leaves and another one replaces it. Planned. */
    record TargetDeparture(int node, boolean announced) implements SoakFault {}

    /** The operator changes the configuration. Planned. */
    record Reconfigure() implements SoakFault {}
}
