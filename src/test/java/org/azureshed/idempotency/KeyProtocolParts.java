package org.azureshed.idempotency;

import java.util.Optional;
import org.azureshed.model.Outcome;

/**
 * Parts of a state of {@link KeyProtocolModel}. A state is an array of numbers: counters, ids of
 * interned parts at fixed positions, and the ids of the messages in flight.
 */
interface KeyProtocolParts {
    long STEP_MILLIS = 100;
    long BASE_MILLIS = 1_800_000_000_000L;
    long ORIGIN_MILLIS = 1_000;
    int SENDERS = 2;

    /** Positions in a state; messages in flight follow. */
    int TIME = 0;

    int FAULTS = 1;
    int WORLD = 2;
    int PLATFORM = 3;
    int PAUSED = 4;
    int SENDER = 5;
    int NODE = SENDER + SENDERS;

    /** Facts about the target, the host side and the used faults. */
    record World(boolean up, int boot, int bootStep, int starts, boolean settled, String broken) {
        World withUp(boolean newUp) {
            return new World(newUp, boot, bootStep, starts, settled, broken);
        }

        World settle() {
            return new World(up, boot, bootStep, starts, true, broken);
        }

        World started(boolean notRunTold) {
            String fault = broken;
            if (starts > 0) {
                fault = "the work started twice";
            } else if (settled) {
                fault = "the work started after a reply that its outcome is settled";
            } else if (notRunTold) {
                fault = "the work started after a reply that it did not run";
            }
            return new World(up, boot, bootStep, starts + 1, settled, fault);
        }
    }

    /** The platform's object. */
    record Stored(Optional<KeyRangeLease> lease, long version) {}

    /** One sender with its entry side. */
    record Sender(int attempt, String phase, int owner, long claimSent) {}

    /** Messages in flight. */
    sealed interface Message {
        /** To a node, unless it was restarted since. */
        record ToNode(int node, NodeInstance instance, OwnerEvent event) implements Message {}

        /** Write at the platform; nobody waits for an abandoned one. */
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

    /** Label of a step with a message. */
    record Failed(String how, Message message) {}
}
