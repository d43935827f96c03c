package org.azureshed.idempotency;

import io.vavr.control.Either;
import org.azureshed.model.RefusalReason;

/**
 * Carries the end of a permit from the owner's clock to the target without synchronised clocks.
 *
 * <p>Clocks differ in rate by at most the stated error, and each process can pause anywhere. Let E
 * be the moment at which the owner's lease ends.
 *
 * <ol>
 *   <li>The owner grants r, the shrunk rest of its lease. The entry side counts r from before it
 *       sent the claim, which is before the owner read its clock. When r has passed on the entry
 *       side's clock, at most the stretched r, and so at most the rest of the lease, has passed on
 *       the owner's clock since a moment before the grant. So the permit ends before E.
 *   <li>The host side read the sampled clock value before the sample arrived. From the arrival to
 *       the end of the permit, the host's clock counts at least the shrunk time of the entry side's
 *       clock. So the host's clock shows at least start_by when the permit ends, and start_by lies
 *       before E. This needs a sample that arrived before the permit ends; others are refused.
 *   <li>The host side compares its clock and boot id. Another boot id means another clock origin.
 *       For the target it reads the VM's clock first and its own clock second. A pause between the
 *       two reads makes the rest shorter, so the deadline lies before start_by.
 *   <li>The target refuses to start the work past that deadline (assumption). This covers pauses
 *       after the host side's check, provided that nobody sets the VM's clock back meanwhile.
 * </ol>
 *
 * <p>A pause before any of these reads only uses up the permit.
 */
public final class PermitClock {
    private final KeyTiming timing;

    /**
     * Creates the arithmetic.
     *
     * @param timing bound of the clock-rate error
     */
    public PermitClock(KeyTiming timing) {
        this.timing = timing;
    }

    /**
     * A host side's clock as carried on a response.
     *
     * @param bootId identifies the host side's process
     * @param hostMillis the host side's monotonic clock
     * @param arrivedMillis the entry side's monotonic clock after the response arrived
     */
    public record HostSample(String bootId, long hostMillis, long arrivedMillis) {}

    /**
     * Last moment for the start of the work.
     *
     * @param bootId identifies the host side's process
     * @param hostMillis the host side's monotonic clock
     */
    public record StartBy(String bootId, long hostMillis) {}

    /**
     * Ends a granted permit on the entry side's clock.
     *
     * @param claimSentMillis the entry side's monotonic clock before the claim was sent
     * @param lengthMillis length from the grant
     * @return the end on the same clock
     */
    public long permitEnd(long claimSentMillis, long lengthMillis) {
        return claimSentMillis + lengthMillis;
    }

    /**
     * Converts a permit's end to the host side's clock.
     *
     * @param permit the permit
     * @param sample sample of the host side's clock
     * @param nowMillis the entry side's monotonic clock
     * @return start_by, or {@link RefusalReason#PERMIT_EXPIRED}
     */
    public Either<RefusalReason, StartBy> startBy(
            Permit permit, HostSample sample, long nowMillis) {
        long left = permit.endMillis() - sample.arrivedMillis();
        if (nowMillis >= permit.endMillis() || left <= 0) {
            return Either.left(RefusalReason.PERMIT_EXPIRED);
        }
        return Either.right(
                new StartBy(sample.bootId(), sample.hostMillis() + timing.shrink(left)));
    }

    /**
     * Checks at the host side and sets the target's deadline.
     *
     * @param startBy value from the entry side
     * @param bootId the host side's own boot id
     * @param epochMillis the VM's clock, read before {@code nowMillis}
     * @param nowMillis the host side's monotonic clock
     * @return deadline on the VM's clock, or {@link RefusalReason#PERMIT_EXPIRED}
     */
    public Either<RefusalReason, Long> targetDeadline(
            StartBy startBy, String bootId, long epochMillis, long nowMillis) {
        if (!startBy.bootId().equals(bootId) || nowMillis >= startBy.hostMillis()) {
            return Either.left(RefusalReason.PERMIT_EXPIRED);
        }
        return Either.right(epochMillis + timing.shrink(startBy.hostMillis() - nowMillis));
    }
}
