package org.azureshed.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlReducer;
import org.azureshed.control.ControlState;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.generated.PoisonSuspect;
import org.azureshed.model.TargetId;
import org.azureshed.poison.CrashReport;
import org.azureshed.poison.PoisonEvent;
import org.azureshed.poison.PoisonState;
import org.azureshed.poison.RequestFingerprint;
import org.azureshed.poison.SuspectEntry;

/** Measures what suspect requests cost a node whose list of them is full. */
final class PoisonCosts {
    private static final int WARM = 300;
    private static final int MEASURED = 300;
    private static final int IN_FLIGHT = 4;

    /** Crashes have ids of 48 bits. */
    private static final long CRASH_IDS = 1L << 48;

    private final ScalePoint point;
    private final ScaleFigures figures;
    private final SplittableRandom random = new SplittableRandom(42);
    private final ControlReducer reducer = new ControlReducer();
    private ControlState state;
    private long crashes;

    PoisonCosts(ScalePoint point, ScaleFigures figures) {
        this.point = point;
        this.figures = figures;
    }

    void measure() {
        state = ControlState.initial(point.node(0));
        reduce(new ControlEvent.NodesListed(point.others()));
        long before = CostMeter.heapBytes();
        reduce(new PoisonEvent.Tick(1));
        reduce(new PoisonEvent.SuspectsReceived(entries()));
        figures.add(point, "poison_heap_bytes", CostMeter.heapBytes() - before);
        figures.add(
                point,
                "poison_tick_us",
                CostMeter.micros(WARM, MEASURED, i -> reduce(new PoisonEvent.Tick(1 + i))));
        List<List<SuspectEntry>> heard = new ArrayList<>();
        for (int i = 0; i < WARM + MEASURED; i++) {
            heard.add(entries());
        }
        figures.add(
                point,
                "poison_heard_us",
                CostMeter.micros(
                        WARM,
                        MEASURED,
                        i -> reduce(new PoisonEvent.SuspectsReceived(heard.get(i)))));
        figures.add(
                point, "poison_crash_us", CostMeter.micros(WARM, MEASURED, i -> reduce(crash())));
        figures.add(
                point,
                "poison_cleared_us",
                CostMeter.micros(
                        WARM,
                        MEASURED,
                        i -> reduce(new PoisonEvent.Completed(fingerprint(), 200))));
        figures.add(
                point,
                "poison_entry_bytes",
                SuspectEntry.encode(state.health().poison().gossip()).length);
        figures.add(point, "poison_gossip_bytes", gossip().getSerializedSize());
    }

    /** The message by which gossip spreads the entries. */
    private GossipDeltas gossip() {
        GossipDeltas.Builder deltas = GossipDeltas.newBuilder();
        for (SuspectEntry entry : state.health().poison().gossip()) {
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

    private List<SuspectEntry> entries() {
        List<SuspectEntry> entries = new ArrayList<>();
        for (int i = 0; i < PoisonState.MAX_ENTRIES; i++) {
            long remaining = PoisonState.LIFETIME_MILLIS - i;
            entries.add(new SuspectEntry(fingerprint(), crashId(), false, remaining));
        }
        return entries;
    }

    /** Crashes of different targets, so that none is in a crash loop. */
    private PoisonEvent crash() {
        Set<RequestFingerprint> inFlight = new HashSet<>();
        while (inFlight.size() < IN_FLIGHT) {
            inFlight.add(fingerprint());
        }
        crashes++;
        String service = "service-" + crashes % ScalePoint.SERVICES;
        TargetId target = new TargetId(service + "." + crashes);
        return new PoisonEvent.TargetCrashed(new CrashReport(crashId(), service, target, inFlight));
    }

    private long crashId() {
        return random.nextLong(CRASH_IDS);
    }

    private RequestFingerprint fingerprint() {
        return new RequestFingerprint(random.nextLong());
    }

    private void reduce(PoisonEvent event) {
        reduce(new ControlEvent.Poison(event));
    }

    private void reduce(ControlEvent event) {
        state = reducer.reduce(state, event).state();
    }
}
