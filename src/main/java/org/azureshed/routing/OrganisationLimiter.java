package org.azureshed.routing;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.azureshed.model.OrganisationLimit;
import org.azureshed.model.RefusalReason;

/**
 * Limits the request rate and the concurrency of each organisation at one entry node. Thread-safe.
 *
 * <p>The rate is limited by a token bucket that holds the tokens of one second. An entry that was
 * idle for a second has a full bucket, like a new one, and is dropped. When the map is full, the
 * least recently used entry without requests in flight is dropped early, which gives its
 * organisation a full bucket again.
 */
public final class OrganisationLimiter {
    /** Above the design scale of 71,000 organisations. */
    private static final int MAX_ENTRIES = 100_000;

    private static final int STRIPES = 16;
    private static final int ENTRIES_CHECKED_PER_CALL = 2;

    /** Callers choose the names; longer ones are stored as their SHA-256 digest to bound memory. */
    private static final int MAX_NAME_LENGTH = 64;

    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Stripe[] stripes = new Stripe[STRIPES];

    /** Creates a limiter without entries. */
    public OrganisationLimiter() {
        this(MAX_ENTRIES);
    }

    OrganisationLimiter(int maxEntries) {
        checkArgument(maxEntries >= STRIPES, "maxEntries must be at least %s", STRIPES);
        for (int i = 0; i < STRIPES; i++) {
            stripes[i] = new Stripe(maxEntries / STRIPES);
        }
    }

    /**
     * Admits a request of an organisation. After an empty result the caller calls {@link #release}
     * exactly once when the request has ended.
     *
     * @param organisation name of the organisation
     * @param limit its limits in the active preset
     * @param nowNanos current time
     * @return empty if the request may run, or the limit that it exceeds
     */
    public Optional<RefusalReason> tryAcquire(
            String organisation, OrganisationLimit limit, long nowNanos) {
        String key = key(organisation);
        return stripe(key).tryAcquire(key, limit, nowNanos);
    }

    /**
     * Ends a request that was admitted. Does nothing if the organisation has no request in flight.
     *
     * @param organisation the name given to {@link #tryAcquire}
     */
    public void release(String organisation) {
        String key = key(organisation);
        stripe(key).release(key);
    }

    /**
     * Number of organisations with an entry.
     *
     * @return entries, including idle ones that were not dropped yet
     */
    public int size() {
        int size = 0;
        for (Stripe stripe : stripes) {
            size += stripe.size();
        }
        return size;
    }

    private static String key(String organisation) {
        return organisation.length() <= MAX_NAME_LENGTH
                ? organisation
                : "#" + Hashing.sha256().hashString(organisation, StandardCharsets.UTF_8);
    }

    private Stripe stripe(String key) {
        return stripes[Math.floorMod(key.hashCode(), STRIPES)];
    }

    /** The organisations of one hash bucket, with a lock of their own to reduce contention. */
    private static final class Stripe {
        private final ReentrantLock lock = new ReentrantLock();
        private final LinkedHashMap<String, Usage> usages = new LinkedHashMap<>(16, 0.75f, true);
        private final int maxEntries;

        Stripe(int maxEntries) {
            this.maxEntries = maxEntries;
        }

        Optional<RefusalReason> tryAcquire(String key, OrganisationLimit limit, long nowNanos) {
            lock.lock();
            try {
                dropIdle(nowNanos);
                Usage usage = usages.get(key);
                if (usage == null) {
                    usage = new Usage(limit.requestsPerSecond(), nowNanos);
                    usages.put(key, usage);
                }
                return usage.tryAcquire(limit, nowNanos);
            } finally {
                lock.unlock();
            }
        }

        void release(String key) {
            lock.lock();
            try {
                Usage usage = usages.get(key);
                if (usage != null && usage.inFlight > 0) {
                    usage.inFlight--;
                }
            } finally {
                lock.unlock();
            }
        }

        int size() {
            lock.lock();
            try {
                return usages.size();
            } finally {
                lock.unlock();
            }
        }

        /** Checks a few of the least recently used entries; those in use move to the end. */
        private void dropIdle(long nowNanos) {
            for (int i = 0; i < ENTRIES_CHECKED_PER_CALL && !usages.isEmpty(); i++) {
                Iterator<Map.Entry<String, Usage>> entries = usages.entrySet().iterator();
                Map.Entry<String, Usage> eldest = entries.next();
                boolean idle = nowNanos - eldest.getValue().refilledAtNanos >= IDLE_NANOS;
                if (!idle && usages.size() < maxEntries) {
                    return;
                }
                if (eldest.getValue().inFlight > 0) {
                    usages.get(eldest.getKey());
                } else {
                    entries.remove();
                }
            }
        }
    }

    /** Token bucket and in-flight count of one organisation. */
    private static final class Usage {
        private double tokens;
        private long refilledAtNanos;
        private int inFlight;

        Usage(double tokens, long nowNanos) {
            this.tokens = tokens;
            refilledAtNanos = nowNanos;
        }

        Optional<RefusalReason> tryAcquire(OrganisationLimit limit, long nowNanos) {
            int rate = limit.requestsPerSecond();
            double seconds = Math.max(0, nowNanos - refilledAtNanos) / NANOS_PER_SECOND;
            tokens = Math.min(rate, tokens + seconds * rate);
            refilledAtNanos = nowNanos;
            if (inFlight >= limit.concurrent()) {
                return Optional.of(RefusalReason.ORGANISATION_CONCURRENCY);
            }
            if (tokens < 1) {
                return Optional.of(RefusalReason.ORGANISATION_RATE);
            }
            tokens--;
            inFlight++;
            return Optional.empty();
        }
    }
}
