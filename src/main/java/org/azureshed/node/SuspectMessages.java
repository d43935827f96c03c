package org.azureshed.node;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.PoisonSuspect;
import org.azureshed.poison.PoisonState;
import org.azureshed.poison.RequestFingerprint;
import org.azureshed.poison.SuspectEntry;

/** Converts suspect entries to and from gossip messages. */
final class SuspectMessages {
    private SuspectMessages() {}

    /** Encodes entries. The reporter field stays empty, since crash ids are unique in the fleet. */
    static GossipDeltas encode(List<SuspectEntry> entries) {
        GossipDeltas.Builder deltas = GossipDeltas.newBuilder();
        for (SuspectEntry entry : entries) {
            long age = PoisonState.LIFETIME_MILLIS - entry.remainingMillis();
            deltas.addSuspects(
                    PoisonSuspect.newBuilder()
                            .setFingerprint(entry.fingerprint().value())
                            .setCrash(entry.crashId())
                            .setCleared(entry.cleared())
                            .setAgeSeconds((int) TimeUnit.MILLISECONDS.toSeconds(age)));
        }
        return deltas.build();
    }

    static List<SuspectEntry> decode(GossipDeltas deltas) {
        List<SuspectEntry> entries = new ArrayList<>();
        for (PoisonSuspect suspect : deltas.getSuspectsList()) {
            long age = TimeUnit.SECONDS.toMillis(Integer.toUnsignedLong(suspect.getAgeSeconds()));
            entries.add(
                    new SuspectEntry(
                            new RequestFingerprint(suspect.getFingerprint()),
                            suspect.getCrash(),
                            suspect.getCleared(),
                            PoisonState.LIFETIME_MILLIS - age));
        }
        return entries;
    }
}
