package org.azureshed.traffic;

/**
 * Remembers the latest request identifiers by their hash codes. A foreign identifier may be taken
 * for a remembered one, but not the reverse.
 */
final class RecentIds {
    /** Far more requests than one connection carries while a late response may still arrive. */
    private static final int CAPACITY = 256;

    private int[] hashes = new int[8];
    private int next;
    private int size;

    void add(String id) {
        if (next == hashes.length && hashes.length < CAPACITY) {
            hashes = java.util.Arrays.copyOf(hashes, 2 * hashes.length);
        }
        next %= hashes.length;
        hashes[next++] = id.hashCode();
        size = Math.max(size, next);
    }

    boolean contains(String id) {
        int hash = id.hashCode();
        for (int i = 0; i < size; i++) {
            if (hashes[i] == hash) {
                return true;
            }
        }
        return false;
    }
}
