package org.azureshed.idempotency.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.azureshed.idempotency.HandOver;
import org.azureshed.idempotency.KeyRange;
import org.azureshed.idempotency.KeyRangeLease;
import org.azureshed.idempotency.NodeInstance;
import org.azureshed.model.NodeId;
import org.junit.jupiter.api.Test;

/** Guards against a hand-over that is attributed to another holder. */
class HandOverPartsTest {
    private static HandOver handOver(long incarnation) {
        KeyRangeLease lease =
                new KeyRangeLease(
                        new KeyRange(3),
                        new NodeInstance(new NodeId("owner"), incarnation),
                        5,
                        List.of(new NodeInstance(new NodeId("successor"), 1)),
                        1,
                        0,
                        0);
        return new HandOver(lease, 9, 1_000, 0, List.of());
    }

    private static Optional<HandOver> received(HandOver sent, HandOver current) {
        HandOverParts parts = new HandOverParts(range -> Optional.of(current.lease()));
        return parts.add(HandOverParts.split(sent).getFirst());
    }

    /**
     * After a restore of the platform, a restarted node can hold the range at the same epoch as
     * before.
     */
    @Test
    void lateHandOverOfAnEarlierIncarnationIsRefused() {
        assertEquals(Optional.empty(), received(handOver(1), handOver(2)));
    }

    /**
     * Without the version, the first write of a successor that has not read the object yet would
     * conflict.
     */
    @Test
    void handOverOfTheHolderKeepsItsVersion() {
        assertEquals(Optional.of(handOver(2)), received(handOver(2), handOver(2)));
    }
}
