package org.azureshed.poison;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One request that was in flight in one crash, in the form that gossip sends.
 *
 * @param fingerprint fingerprint of the request
 * @param crashId id of the crash; 48 bits
 * @param cleared whether the request has since completed without a crash
 * @param remainingMillis time until the entry expires, in milliseconds
 */
public record SuspectEntry(
        RequestFingerprint fingerprint, long crashId, boolean cleared, long remainingMillis) {
    /** Size of an encoded entry in bytes. */
    public static final int BYTES = 16;

    private static final int CLEARED_BIT = 1 << 15;

    /** 15 bits hold ten minutes in units of 20 ms. */
    private static final long UNIT_MILLIS = 20;

    private static final long MAX_UNITS = CLEARED_BIT - 1;

    /**
     * Encodes entries. Gossip sends them as protobuf messages instead, see {@code SuspectMessages}.
     *
     * @param entries entries in any number
     * @return 16 bytes for each
     */
    public static byte[] encode(List<SuspectEntry> entries) {
        ByteBuffer buffer = ByteBuffer.allocate(entries.size() * BYTES);
        for (SuspectEntry entry : entries) {
            long units = Math.clamp(entry.remainingMillis() / UNIT_MILLIS, 0, MAX_UNITS);
            buffer.putLong(entry.fingerprint().value());
            buffer.putShort((short) (entry.crashId() >>> Integer.SIZE));
            buffer.putInt((int) entry.crashId());
            buffer.putShort((short) (units | (entry.cleared() ? CLEARED_BIT : 0)));
        }
        return buffer.array();
    }

    /**
     * Decodes entries. Trailing bytes that are shorter than an entry are ignored.
     *
     * @param bytes encoded entries, possibly malformed
     * @return at most {@link PoisonState#MAX_ENTRIES} entries
     */
    public static List<SuspectEntry> decode(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        List<SuspectEntry> entries = new ArrayList<>();
        while (buffer.remaining() >= BYTES && entries.size() < PoisonState.MAX_ENTRIES) {
            RequestFingerprint fingerprint = new RequestFingerprint(buffer.getLong());
            long high = Short.toUnsignedLong(buffer.getShort());
            long crashId = high << Integer.SIZE | Integer.toUnsignedLong(buffer.getInt());
            int clearedAndUnits = Short.toUnsignedInt(buffer.getShort());
            entries.add(
                    new SuspectEntry(
                            fingerprint,
                            crashId,
                            (clearedAndUnits & CLEARED_BIT) != 0,
                            (clearedAndUnits & MAX_UNITS) * UNIT_MILLIS));
        }
        return entries;
    }
}
