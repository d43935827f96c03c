package org.azureshed.process;

import org.azureshed.platform.standin.StoreStandIn;

/** A fault, or planned work, that the soak brings about from outside the processes. */
sealed interface SoakFault {
    /** A link of a node. */
    enum Link {
        /** From the other nodes to this one. */
        PEERS,
        /** From the node to its target. */
        TARGET,
        /** From the node to the store. */
        STORE
    }

    /** How a target treats requests during a fault. */
    enum TargetTrouble {
        ERRORS,
        RESETS,
        TRUNCATED,
        GARBAGE,
        TWICE,
        MUTE,
        SHEDS,
        SLOW
    }

    /** SIGKILL and a start after a pause. */
    record Kill(int node, long downMillis) implements SoakFault {}

    /** SIGSTOP, then SIGCONT. */
    record Pause(int node, long millis) implements SoakFault {}

    /** SIGTERM, the end of the process within its grace, and a start. Planned work. */
    record Terminate(int node) implements SoakFault {}

    /** The settings file is written anew, with SIGHUP or without. Planned work. */
    record Resettle(int node, boolean signal) implements SoakFault {}

    /** SIGKILL, and at the next start the clock is behind that of the former process. */
    record ClockBehind(int node) implements SoakFault {}

    /** One direction of a link, or both if {@code direction} is null, carries nothing. */
    record Cut(int node, Link link, FaultInjectingRelay.Direction direction, long millis)
            implements SoakFault {}

    /** A link is slow. */
    record Delay(int node, Link link, long delayMillis, long millis) implements SoakFault {}

    /** The open connections of a link are reset. */
    record Reset(int node, Link link) implements SoakFault {}

    /** The open connections of a link carry nothing for good; new ones work. */
    record Silence(int node, Link link) implements SoakFault {}

    /** The store fails for all nodes. */
    record StoreFails(StoreStandIn.Fault fault, long millis) implements SoakFault {}

    /** The store drops its history. */
    record HistoryDropped() implements SoakFault {}

    /** A target fails part of its requests. */
    record TargetFails(int node, TargetTrouble trouble, double share, long millis)
            implements SoakFault {}

    /** A target crashes and another one starts at its address. */
    record TargetCrashes(int node, long downMillis) implements SoakFault {}

    /** A target leaves and is replaced by another one. Planned work. */
    record TargetLeaves(int node, boolean announced) implements SoakFault {}

    /** The operator changes the configuration. Planned work. */
    record Reconfigure() implements SoakFault {}
}
