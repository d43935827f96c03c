package org.azureshed.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;

/**
 * Account of what all callers' connections make a node's entry side hold. Decides which connections
 * are displaced when it is full. Memory is counted as two resources: objects on the heap (heads,
 * connections) and buffers outside of it (bodies and data sent ahead).
 *
 * <p>A connection may be displaced if it is idle or if a request on it has made no progress for
 * {@link #STALL_NANOS}; never while a complete request is being served. The first to be displaced
 * is the one with the largest product of what it holds and its time without progress.
 *
 * @param <C> type of the connections
 */
public final class CallerAccount<C> {
    /**
     * Time without progress after which a connection may be displaced: a third of the usual time
     * limit for a head. Uploads in progress deliver data far more often, and are not displaced in
     * favour of newer ones.
     */
    public static final long STALL_NANOS = 1_000_000_000L;

    /** Estimate of the heap for one connection: channel, pipeline, decoder and timers. */
    static final long CONNECTION_BYTES = 6 << 10;

    /** Estimate of the objects for one header line, beside its text. */
    private static final long LINE_BYTES = 256;

    /** The text of a line is held as received and as decoded. */
    private static final long BYTES_PER_CHARACTER = 2;

    /** Less additional data than this is no progress. */
    private static final long MIN_PROGRESS_BYTES = 4 << 10;

    /** Additional data counts as progress from this part of what is held already. */
    private static final long PROGRESS_DIVISOR = 8;

    private final long heapLimit;
    private final int maxConnections;
    private final Set<Holding<C>> holdings = new HashSet<>();
    private long heapBytes;

    /** What a connection is used for. */
    public enum Phase {
        /** Between requests. */
        IDLE,
        /** A head or body is being read. */
        READING,
        /** A complete request is being served, or its answer is not read yet. */
        SERVING,
        /** Refused; the rest of the request is being discarded. */
        CLOSING
    }

    /** A bounded resource. */
    public enum Resource {
        HEAP,
        BUFFERS
    }

    /**
     * What one connection holds.
     *
     * @param <C> type of the connection
     */
    public static final class Holding<C> {
        private final C connection;
        private Phase phase = Phase.IDLE;
        private long heapBytes = CONNECTION_BYTES;
        private long bufferBytes;
        private long bytesAtProgress;
        private long progressNanos;

        private Holding(C connection, long nowNanos) {
            this.connection = connection;
            this.progressNanos = nowNanos;
        }

        /**
         * Returns what the connection is used for.
         *
         * @return the phase at the last update
         */
        public Phase phase() {
            return phase;
        }

        /**
         * Returns the heap that the connection holds.
         *
         * @return bytes, estimated
         */
        public long heapBytes() {
            return heapBytes;
        }

        /**
         * Returns all memory that the connection holds.
         *
         * @return bytes on the heap and in buffers, estimated
         */
        public long bytes() {
            return heapBytes + bufferBytes;
        }

        /**
         * Returns the time since the connection last made progress.
         *
         * @param nowNanos the current time
         * @return nanoseconds since the phase changed or a substantial amount of data arrived
         */
        public long stalledNanos(long nowNanos) {
            return nowNanos - progressNanos;
        }

        private long bytes(Resource resource) {
            return resource == Resource.HEAP ? heapBytes : bufferBytes;
        }

        private boolean displaceable(long nowNanos) {
            return switch (phase) {
                case SERVING -> false;
                case CLOSING -> true;
                case IDLE, READING -> stalledNanos(nowNanos) >= STALL_NANOS;
            };
        }

        private double weight(long nowNanos) {
            return (double) bytes() * Math.max(1, stalledNanos(nowNanos));
        }
    }

    /**
     * Creates an empty account.
     *
     * @param heapLimit most bytes on the heap, estimated, that all connections may hold
     * @param maxConnections most connections
     */
    public CallerAccount(long heapLimit, int maxConnections) {
        this.heapLimit = heapLimit;
        this.maxConnections = maxConnections;
    }

    /**
     * Estimates the heap that a request head uses.
     *
     * @param lines number of its lines
     * @param textBytes length of all lines
     * @return bytes
     */
    public static long headBytes(long lines, long textBytes) {
        return lines * LINE_BYTES + textBytes * BYTES_PER_CHARACTER;
    }

    /**
     * Adds a connection.
     *
     * @param connection the new connection
     * @param nowNanos the current time
     * @return what it holds
     */
    public Holding<C> open(C connection, long nowNanos) {
        Holding<C> holding = new Holding<>(connection, nowNanos);
        holdings.add(holding);
        heapBytes += holding.heapBytes;
        return holding;
    }

    /**
     * Removes a closed connection. Does nothing if it has been removed before.
     *
     * @param holding what it held
     */
    public void close(Holding<C> holding) {
        if (holdings.remove(holding)) {
            heapBytes -= holding.heapBytes;
        }
    }

    /**
     * Notes what a connection holds now.
     *
     * @param holding the connection's part of the account
     * @param phase what the connection is used for
     * @param headBytes heap used by request heads, see {@link #headBytes}
     * @param bufferBytes memory for bodies and for data sent ahead, also if it is still empty
     * @param receivedBytes bytes in that memory
     * @param nowNanos the current time
     */
    public void update(
            Holding<C> holding,
            Phase phase,
            long headBytes,
            long bufferBytes,
            long receivedBytes,
            long nowNanos) {
        if (!holdings.contains(holding)) {
            return;
        }
        long heap = CONNECTION_BYTES + headBytes;
        heapBytes += heap - holding.heapBytes;
        holding.heapBytes = heap;
        holding.bufferBytes = bufferBytes;
        // Memory that was reserved for a whole body is not filled at once.
        long received = headBytes + receivedBytes;
        long added = received - holding.bytesAtProgress;
        long required = Math.max(MIN_PROGRESS_BYTES, holding.bytesAtProgress / PROGRESS_DIVISOR);
        if (phase != holding.phase || added >= required) {
            holding.progressNanos = nowNanos;
            holding.bytesAtProgress = received;
        }
        holding.phase = phase;
    }

    /**
     * Whether more heap may be held.
     *
     * @param bytes additional bytes
     * @return false if the bound would be exceeded
     */
    public boolean fits(long bytes) {
        return heapBytes + bytes <= heapLimit;
    }

    /**
     * Returns the heap that all connections hold.
     *
     * @return bytes, estimated
     */
    public long heapBytes() {
        return heapBytes;
    }

    /**
     * Returns by how much the bound on the heap is exceeded.
     *
     * @return bytes; 0 or less if it is not
     */
    public long excessHeapBytes() {
        return heapBytes - heapLimit;
    }

    /**
     * Chooses connections whose displacement frees a resource for another connection.
     *
     * @param requester the connection that needs it, which is not chosen
     * @param resource the resource
     * @param bytes bytes that must become free
     * @param nowNanos the current time
     * @return the connections to displace; empty if they cannot free as much
     */
    public Optional<List<C>> displaced(
            Holding<C> requester, Resource resource, long bytes, long nowNanos) {
        List<Holding<C>> candidates = new ArrayList<>();
        for (Holding<C> holding : holdings) {
            if (holding != requester
                    && holding.displaceable(nowNanos)
                    && holding.bytes(resource) > 0) {
                candidates.add(holding);
            }
        }
        candidates.sort(
                Comparator.comparingDouble((Holding<C> holding) -> -holding.weight(nowNanos)));
        List<C> chosen = new ArrayList<>();
        long freed = 0;
        for (Holding<C> holding : candidates) {
            if (freed >= bytes) {
                break;
            }
            freed += holding.bytes(resource);
            chosen.add(holding.connection);
        }
        return freed >= bytes ? Optional.of(chosen) : Optional.empty();
    }

    /**
     * Chooses the connection to close if there are more than allowed: the one that has been idle
     * the longest, otherwise the first that may be displaced, otherwise the newest.
     *
     * @param newest the connection that was opened last
     * @param nowNanos the current time
     * @return the connection to close; empty if there are not too many
     */
    public Optional<C> surplus(Holding<C> newest, long nowNanos) {
        if (holdings.size() <= maxConnections) {
            return Optional.empty();
        }
        Optional<Holding<C>> idle = first(Phase.IDLE, newest, h -> h.stalledNanos(nowNanos));
        Optional<Holding<C>> closing = first(Phase.CLOSING, newest, h -> h.stalledNanos(nowNanos));
        Optional<Holding<C>> stalled =
                first(Phase.READING, newest, h -> (long) h.weight(nowNanos))
                        .filter(holding -> holding.displaceable(nowNanos));
        return Optional.of(closing.or(() -> idle).or(() -> stalled).orElse(newest).connection);
    }

    private Optional<Holding<C>> first(
            Phase phase, Holding<C> except, ToLongFunction<Holding<C>> order) {
        return holdings.stream()
                .filter(holding -> holding.phase == phase && holding != except)
                .max(Comparator.comparingLong(order));
    }
}
