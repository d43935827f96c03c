package org.azureshed.traffic;

/**
 * Bound on the memory for request bodies at one side of a node. What does not fit is refused before
 * it runs, because a process without memory would fail other requests. Not thread-safe.
 */
public final class BodyMemory {
    private final long limitBytes;
    private long heldBytes;

    /**
     * Creates an empty account.
     *
     * @param limitBytes most bytes that may be held at a time
     */
    public BodyMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Returns the reserved memory.
     *
     * @return bytes; 0 when no request with a body is under way
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Whether a reservation would succeed now.
     *
     * @param bytes size of the reservation, 0 or more
     * @return false if the bound would be exceeded
     */
    boolean fits(long bytes) {
        return bytes <= limitBytes - heldBytes;
    }

    /** Returns how much may still be reserved. */
    long freeBytes() {
        return limitBytes - heldBytes;
    }

    /** Reserves memory; false, without a reservation, if the bound would be exceeded. */
    boolean reserve(long bytes) {
        if (!fits(bytes)) {
            return false;
        }
        heldBytes += bytes;
        return true;
    }

    void release(long bytes) {
        heldBytes -= bytes;
    }
}
