package org.azureshed.idempotency;

/**
 * The time for which one process holds one range, over all its renewals.
 *
 * @param range the range
 * @param holder the owner
 * @param epoch epoch of its leases
 */
public record Tenure(KeyRange range, NodeInstance holder, long epoch) {
    static Tenure of(KeyRangeLease lease) {
        return new Tenure(lease.range(), lease.holder(), lease.epoch());
    }
}
