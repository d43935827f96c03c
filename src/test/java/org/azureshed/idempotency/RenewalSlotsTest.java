package org.azureshed.idempotency;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.azureshed.control.Step;
import org.azureshed.model.NodeId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against renewals of all ranges in the same tick, and against renewals that come late
 * because they wait for their slot.
 */
final class RenewalSlotsTest {
    private static final long TICK_MILLIS = 200;
    private static final long START_UP_MILLIS = 6_000;
    private static final long RUN_MILLIS = 60_000;

    private final OwnerReducer reducer = new OwnerReducer(KeyTiming.STANDARD);
    private final NodeInstance self = new NodeInstance(new NodeId("a"), 1);
    private final Map<KeyRange, Long> versions = new HashMap<>();
    private OwnerState state = OwnerState.initial(self);
    private List<OwnerEffect.WriteLease> writes = new ArrayList<>();

    @ParameterizedTest
    @ValueSource(longs = {-7_777_123, 0, 4_999, 123_456_789})
    void renewalsAreSpreadAndNeverLate(long start) {
        RangePlacement placement = new RangePlacement(List.of(new OwnerCandidate(self, "z")));
        submit(new OwnerEvent.ViewChanged(placement, start));
        Map<KeyRange, Long> last = new HashMap<>();
        int count = 0;
        for (long now = start; now < start + RUN_MILLIS; now += TICK_MILLIS) {
            writes = new ArrayList<>();
            submit(new OwnerEvent.Tick(now));
            boolean settled = now - start > START_UP_MILLIS;
            assertTrue(!settled || writes.size() <= 26, writes.size() + " writes in one tick");
            for (OwnerEffect.WriteLease write : writes) {
                KeyRange range = write.lease().range();
                long before = last.getOrDefault(range, now);
                long limit = KeyTiming.STANDARD.renewEveryMillis() + TICK_MILLIS;
                assertTrue(now - before <= limit, range + " after " + (now - before) + " ms");
                last.put(range, now);
                count += settled ? 1 : 0;
            }
        }
        long intervals = (RUN_MILLIS - START_UP_MILLIS) / KeyTiming.STANDARD.renewEveryMillis();
        assertTrue(count >= intervals * KeyRange.COUNT, count + " renewals");
        assertTrue(count <= (intervals + 1) * KeyRange.COUNT, count + " renewals");
    }

    /** Reduces an event and answers its calls to the platform at once. */
    private void submit(OwnerEvent event) {
        Step<OwnerState, OwnerEffect> step = reducer.reduce(state, event);
        state = step.state();
        long now = state.nowMillis();
        for (OwnerEffect effect : step.effects()) {
            if (effect instanceof OwnerEffect.ReadLease(KeyRange range)) {
                submit(new OwnerEvent.LeaseRead(range, Optional.empty(), 0, now, now, 1));
            } else if (effect instanceof OwnerEffect.WriteLease write) {
                writes.add(write);
                long version = versions.merge(write.lease().range(), 1L, Long::sum);
                submit(new OwnerEvent.WriteAccepted(write.lease(), version, now, now, 1));
            }
        }
    }
}
