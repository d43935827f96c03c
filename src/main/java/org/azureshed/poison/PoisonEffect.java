package org.azureshed.poison;

import java.util.List;
import org.azureshed.model.TargetId;

/** A side effect that {@link PoisonReducer} requests and its caller executes. */
public sealed interface PoisonEffect {
    /**
     * Replaces the view that traffic threads read.
     *
     * @param view suspects after the event
     */
    record PublishView(PoisonView view) implements PoisonEffect {}

    /**
     * Sends entries that this node added or cleared to the other nodes by gossip.
     *
     * @param entries the changed entries
     */
    record GossipEntries(List<SuspectEntry> entries) implements PoisonEffect {
        /** Copies the list. */
        public GossipEntries {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Reports a target in a crash loop, so that it is ejected: it crashed repeatedly and no request
     * common to several crashes explains it.
     *
     * @param service name of its service
     * @param target the crashing target
     * @param crashes number of its recent crashes without a refused request in flight
     */
    record CrashLoop(String service, TargetId target, int crashes) implements PoisonEffect {}
}
