package org.azureshed.membership;

import io.vavr.collection.Map;
import org.azureshed.generated.EjectionNotice;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.PoisonSuspect;

/** Merges poison suspects and ejection notices, accepting each version once. */
final class GossipEntryMerge {
    /** Time for which a suspect or notice is kept. */
    private static final long LIFETIME_MILLIS = 10 * 60 * 1_000L;

    /** Bounds memory; more entries than this within the lifetime are not expected. */
    private static final int MAX_ENTRIES = 4_096;

    private GossipEntryMerge() {}

    /** Merges the suspects and notices of a message and returns the new ones. */
    static GossipDeltas merge(Draft draft, GossipDeltas deltas) {
        GossipDeltas.Builder fresh = GossipDeltas.newBuilder();
        for (PoisonSuspect suspect : deltas.getSuspectsList()) {
            String key =
                    "suspect/"
                            + suspect.getFingerprint()
                            + "/"
                            + suspect.getReporter()
                            + "/"
                            + suspect.getCrash();
            GossipDeltas entry = GossipDeltas.newBuilder().addSuspects(suspect).build();
            if (put(draft, key, suspect.getCleared() ? 1 : 0, entry)) {
                fresh.addSuspects(suspect);
            }
        }
        for (EjectionNotice notice : deltas.getEjectionsList()) {
            String key = "ejection/" + notice.getService() + "/" + notice.getTarget();
            GossipDeltas entry = GossipDeltas.newBuilder().addEjections(notice).build();
            if (put(draft, key, notice.getVersion(), entry)) {
                fresh.addEjections(notice);
            }
        }
        return fresh.build();
    }

    private static boolean put(Draft draft, String key, long version, GossipDeltas entry) {
        Map<String, GossipEntry> items = draft.state.gossipEntries();
        boolean known = items.get(key).exists(item -> item.version() >= version);
        if (known || items.size() >= MAX_ENTRIES && !items.containsKey(key)) {
            return false;
        }
        GossipEntry item =
                new GossipEntry(entry, version, draft.state.nowMillis(), RecentChange.EXCHANGES);
        draft.state = draft.state.withGossipEntries(items.put(key, item));
        return true;
    }

    static void expire(Draft draft) {
        long now = draft.state.nowMillis();
        if (draft.state
                .gossipEntries()
                .exists(item -> now - item._2.receivedMillis() > LIFETIME_MILLIS)) {
            draft.state =
                    draft.state.withGossipEntries(
                            draft.state
                                    .gossipEntries()
                                    .filterValues(
                                            item ->
                                                    now - item.receivedMillis()
                                                            <= LIFETIME_MILLIS));
        }
    }
}
