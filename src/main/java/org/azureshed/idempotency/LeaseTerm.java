package org.azureshed.idempotency;

/**
 * The time for which one process holds one range, over all its renewals.
 *
 * @param range the range
 * @param holder the owner
 * @param epoch epoch, which stays the same in all renewals
 */
public record LeaseTerm(KeyRange range, NodeInstance holder, long epoch) {
    static LeaseTerm of(KeyRangeLease lease) {
        return new LeaseTerm(lease.range(), lease.holder(), lease.epoch());
    }
}
