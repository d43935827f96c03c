package org.azureshed.membership;

import io.vavr.collection.Map;
import org.azureshed.generated.EjectionNotice;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.PoisonSuspect;

/** Takes in poison suspects and ejection notices, each version once. */
final class SpreadMerge {
    /** Lifetime of a suspect. */
    private static final long LIFETIME_MILLIS = 10 * 60 * 1_000L;

    /** Bounds memory; a fleet in which more crash within the lifetime has other problems. */
    private static final int MAX_ITEMS = 4_096;

    private SpreadMerge() {}

    /** Merges deltas; returns those that are new, without nodes. */
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
            GossipDeltas one = GossipDeltas.newBuilder().addSuspects(suspect).build();
            if (put(draft, key, suspect.getCleared() ? 1 : 0, one)) {
                fresh.addSuspects(suspect);
            }
        }
        for (EjectionNotice notice : deltas.getEjectionsList()) {
            String key = "ejection/" + notice.getService() + "/" + notice.getTarget();
            GossipDeltas one = GossipDeltas.newBuilder().addEjections(notice).build();
            if (put(draft, key, notice.getVersion(), one)) {
                fresh.addEjections(notice);
            }
        }
        return fresh.build();
    }

    private static boolean put(Draft draft, String key, long version, GossipDeltas one) {
        Map<String, SpreadItem> items = draft.state.spread();
        boolean known = items.get(key).exists(item -> item.version() >= version);
        if (known || items.size() >= MAX_ITEMS && !items.containsKey(key)) {
            return false;
        }
        SpreadItem item =
                new SpreadItem(one, version, draft.state.nowMillis(), RecentChange.EXCHANGES);
        draft.state = draft.state.withSpread(items.put(key, item));
        return true;
    }

    static void expire(Draft draft) {
        long now = draft.state.nowMillis();
        if (draft.state.spread().exists(item -> now - item._2.receivedMillis() > LIFETIME_MILLIS)) {
            draft.state =
                    draft.state.withSpread(
                            draft.state
                                    .spread()
                                    .filterValues(
                                            item ->
                                                    now - item.receivedMillis()
                                                            <= LIFETIME_MILLIS));
        }
    }
}
