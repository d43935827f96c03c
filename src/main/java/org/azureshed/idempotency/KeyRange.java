package org.azureshed.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.azureshed.platform.ObjectKey;

/**
 * One of the partitions of the idempotency keys, which are assigned by hash. Each has at most one
 * owner at a time.
 *
 * @param number 0 to {@link #COUNT} - 1
 */
public record KeyRange(int number) implements Comparable<KeyRange> {
    /** Number of ranges; fixed, because all nodes must agree on the range of a key. */
    public static final int COUNT = 128;

    /** Kind of the platform objects that hold the leases of ranges. */
    public static final String OBJECT_KIND = "key-range";

    /** Checks the number. */
    public KeyRange {
        checkArgument(number >= 0 && number < COUNT, "key range %s is outside 0 to 127", number);
    }

    /**
     * The range of a key.
     *
     * @param key key of any organisation and route
     * @return its range
     */
    public static KeyRange of(IdempotencyKey key) {
        Hasher hasher = Hashing.murmur3_128().newHasher();
        hasher.putInt(key.organisation().length());
        hasher.putString(key.organisation(), StandardCharsets.UTF_8);
        hasher.putInt(key.route().length());
        hasher.putString(key.route(), StandardCharsets.UTF_8);
        hasher.putLong(key.value().getMostSignificantBits());
        hasher.putLong(key.value().getLeastSignificantBits());
        return new KeyRange(Math.floorMod(hasher.hash().asLong(), COUNT));
    }

    /**
     * Name of the platform object that holds the range's lease.
     *
     * @return for example {@code key-range/17}
     */
    public ObjectKey objectKey() {
        return new ObjectKey(OBJECT_KIND, Integer.toString(number));
    }

    @Override
    public int compareTo(KeyRange other) {
        return Integer.compare(number, other.number);
    }
}
