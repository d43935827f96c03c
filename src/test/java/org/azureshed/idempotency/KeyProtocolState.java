package org.azureshed.idempotency;

import java.util.Optional;
import org.azureshed.model.Outcome;

/**
 * Layout of a state of {@link KeyProtocolModel}. A state is an array of numbers: counters and ids
 * of interned parts at fixed positions, followed by the ids of the messages in flight.
 */
interface KeyProtocolState {
    long STEP_MILLIS = 100;

    /** Time of the platform and of the VM at step 0, since the epoch. */
    long BASE_MILLIS = 1_800_000_000_000L;

    /** All monotonic clocks at step 0. */
    long ORIGIN_MILLIS = 1_000;

    int SENDERS = 2;

    /** Indexes in a state. Messages in flight follow the nodes. */
    int TIME = 0;

    int FAULTS = 1;
    int ENVIRONMENT = 2;
    int PLATFORM = 3;
    int PAUSED = 4;
    int SENDER = 5;
    int NODE = SENDER + SENDERS;

    /**
     * State of the platform, the host side and the target, and the violated invariant, if there is
     * one.
     */
    record Environment(
            boolean platformUp,
            int boot,
            int bootStep,
            int starts,
            boolean outcomeSettled,
            String violation) {
        Environment withPlatformUp(boolean newPlatformUp) {
            return new Environment(
                    newPlatformUp, boot, bootStep, starts, outcomeSettled, violation);
        }

        Environment withOutcomeSettled() {
            return new Environment(platformUp, boot, bootStep, starts, true, violation);
        }

        Environment started(boolean toldNotRun) {
            String newViolation = violation;
            if (starts > 0) {
                newViolation = "the work started twice";
            } else if (outcomeSettled) {
                newViolation = "the work started after a reply that its outcome is settled";
            } else if (toldNotRun) {
                newViolation = "the work started after a reply that it did not run";
            }
            return new Environment(
                    platformUp, boot, bootStep, starts + 1, outcomeSettled, newViolation);
        }
    }

    /** The platform's object; version 0 if it does not exist. */
    record Stored(Optional<KeyRangeLease> lease, long version) {}

    /**
     * One sender with its entry side. The phase is one of idle, waiting, refused, forwarded, not
     * run, unknown and done.
     */
    record Sender(int attempt, String phase, int owner, long claimSent) {}

    /** Messages in flight. */
    sealed interface Message {
        /** Event for a process of a node. It is dropped if the node was restarted since. */
        record ToNode(int node, NodeInstance instance, OwnerEvent event) implements Message {}

        /** Write at the platform. The answer to an abandoned write is lost. */
        record Write(int node, OwnerEffect.WriteLease write, boolean abandoned)
                implements Message {}

        /** Answer of the platform to a node. */
        record Written(int node, KeyRangeLease lease, long version, long sent, long server)
                implements Message {}

        /** Claim to a node. */
        record Claimed(int node, int sender, int attempt) implements Message {}

        /** Reply to a sender. */
        record Replied(int sender, int attempt, ClaimReply reply) implements Message {}

        /** Report to a node. */
        record Reported(int node, int sender, int attempt, Outcome outcome) implements Message {}

        /** Request to the host side. */
        record Forward(int sender, int attempt, PermitClock.StartBy startBy) implements Message {}

        /** Request to the target. */
        record Start(int sender, int attempt, long deadline) implements Message {}

        /** Answer to the entry side. */
        record Ended(int sender, int attempt, Outcome outcome) implements Message {}
    }

    /** Label of a step that concerns a message, for the trace. */
    record MessageStep(String kind, Message message) {}
}
