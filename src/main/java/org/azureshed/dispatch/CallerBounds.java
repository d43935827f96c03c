package org.azureshed.dispatch;

/**
 * Bounds on what all callers' connections together may hold at a node, beside its memory for
 * bodies.
 *
 * @param heapBytes most bytes on the heap for heads and connections, estimated
 * @param connections most connections
 */
public record CallerBounds(long heapBytes, int connections) {
    /**
     * Part of the heap for callers. The estimates are rough, and the rest is needed for requests
     * that are being served, the host side, the directory and garbage.
     */
    private static final int HEAP_DIVISOR = 4;

    /**
     * Part of the descriptors for callers. At 104 nodes up to 1,855 of 4,100 were in use, nearly
     * all by connections to nodes, the store and the target.
     */
    private static final int DESCRIPTOR_DIVISOR = 2;

    /**
     * Derives the bounds from the limits of the process.
     *
     * @param maxHeapBytes largest size of the heap
     * @param maxDescriptors most open file descriptors
     * @return the bounds
     */
    public static CallerBounds of(long maxHeapBytes, long maxDescriptors) {
        return new CallerBounds(
                maxHeapBytes / HEAP_DIVISOR,
                (int) Math.clamp(maxDescriptors / DESCRIPTOR_DIVISOR, 1, Integer.MAX_VALUE));
    }
}
