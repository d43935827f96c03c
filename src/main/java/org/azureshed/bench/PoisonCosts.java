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

/**
 * Measures the processor time, the heap and the bytes of gossip that requests suspected of crashing
 * their targets cost a node whose list of suspects is full.
 */
final class PoisonCosts {
    private static final int WARM_UP_ITERATIONS = 300;
    private static final int MEASURED_ITERATIONS = 300;
    private static final int IN_FLIGHT_REQUESTS = 4;

    /** Exclusive upper bound of crash ids, which have 48 bits. */
    private static final long CRASH_ID_BOUND = 1L << 48;

    private final SyntheticFleet fleet;
    private final ScaleMetrics metrics;
    private final SplittableRandom random = new SplittableRandom(42);
    private final ControlReducer reducer = new ControlReducer();
    private ControlState state;
    private long crashCount;

    PoisonCosts(SyntheticFleet fleet, ScaleMetrics metrics) {
        this.fleet = fleet;
        this.metrics = metrics;
    }

    void measure() {
        state = ControlState.initial(fleet.node(0));
        reduce(new ControlEvent.NodesListed(fleet.otherNodes()));
        long heapBytesBefore = CostMeter.usedHeapBytes();
        reduce(new PoisonEvent.Tick(1));
        reduce(new PoisonEvent.SuspectsReceived(randomEntries()));
        metrics.add(fleet, "poison_heap_bytes", CostMeter.usedHeapBytes() - heapBytesBefore);
        metrics.add(
                fleet,
                "poison_tick_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS,
                        MEASURED_ITERATIONS,
                        i -> reduce(new PoisonEvent.Tick(1 + i))));
        List<List<SuspectEntry>> received = new ArrayList<>();
        for (int i = 0; i < WARM_UP_ITERATIONS + MEASURED_ITERATIONS; i++) {
            received.add(randomEntries());
        }
        metrics.add(
                fleet,
                "poison_heard_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS,
                        MEASURED_ITERATIONS,
                        i -> reduce(new PoisonEvent.SuspectsReceived(received.get(i)))));
        metrics.add(
                fleet,
                "poison_crash_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS, MEASURED_ITERATIONS, i -> reduce(randomCrash())));
        metrics.add(
                fleet,
                "poison_cleared_us",
                CostMeter.measureMicros(
                        WARM_UP_ITERATIONS,
                        MEASURED_ITERATIONS,
                        i -> reduce(new PoisonEvent.Completed(randomFingerprint(), 200))));
        metrics.add(
                fleet,
                "poison_entry_bytes",
                SuspectEntry.encode(state.health().poison().gossip()).length);
        metrics.add(fleet, "poison_gossip_bytes", gossipMessage().getSerializedSize());
    }

    /** Builds the gossip message with all entries of the node. */
    private GossipDeltas gossipMessage() {
        GossipDeltas.Builder deltas = GossipDeltas.newBuilder();
        for (SuspectEntry entry : state.health().poison().gossip()) {
            long ageMillis = PoisonState.LIFETIME_MILLIS - entry.remainingMillis();
            deltas.addSuspects(
                    PoisonSuspect.newBuilder()
                            .setFingerprint(entry.fingerprint().value())
                            .setCrash(entry.crashId())
                            .setCleared(entry.cleared())
                            .setAgeSeconds((int) TimeUnit.MILLISECONDS.toSeconds(ageMillis)));
        }
        return deltas.build();
    }

    private List<SuspectEntry> randomEntries() {
        List<SuspectEntry> entries = new ArrayList<>();
        for (int i = 0; i < PoisonState.MAX_ENTRIES; i++) {
            long remainingMillis = PoisonState.LIFETIME_MILLIS - i;
            entries.add(
                    new SuspectEntry(randomFingerprint(), randomCrashId(), false, remainingMillis));
        }
        return entries;
    }

    /** Creates a crash of a new target each time, so that no target is in a crash loop. */
    private PoisonEvent randomCrash() {
        Set<RequestFingerprint> inFlight = new HashSet<>();
        while (inFlight.size() < IN_FLIGHT_REQUESTS) {
            inFlight.add(randomFingerprint());
        }
        crashCount++;
        String service = "service-" + crashCount % SyntheticFleet.SERVICES;
        TargetId target = new TargetId(service + "." + crashCount);
        return new PoisonEvent.TargetCrashed(
                new CrashReport(randomCrashId(), service, target, inFlight));
    }

    private long randomCrashId() {
        return random.nextLong(CRASH_ID_BOUND);
    }

    private RequestFingerprint randomFingerprint() {
        return new RequestFingerprint(random.nextLong());
    }

    private void reduce(PoisonEvent event) {
        reduce(new ControlEvent.Poison(event));
    }

    private void reduce(ControlEvent event) {
        state = reducer.reduce(state, event).state();
    }
}
