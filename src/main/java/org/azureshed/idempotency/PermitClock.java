package org.azureshed.idempotency;

import io.vavr.control.Either;
import org.azureshed.model.RefusalReason;

/**
 * Converts the end of a permit from the owner's clock to the clocks of the entry side, the host
 * side and the target. The clocks need not be synchronised.
 *
 * <p>Clocks differ in rate by at most {@link KeyTiming#rateErrorPercent}, and each process can
 * pause at any point. Let E be the moment at which the owner's lease ends.
 *
 * <ol>
 *   <li>The owner grants a permit of length r, the remaining time of its lease reduced by {@link
 *       KeyTiming#shrink}. The entry side counts r from before it sent the claim, which is before
 *       the owner read its clock. When r has passed on the entry side's clock, at most the
 *       stretched r has passed on the owner's clock since a moment before the grant. That is at
 *       most the remaining time of the lease, so the permit ends before E.
 *   <li>The host side read its clock for the sample before the sample arrived at the entry side.
 *       From the arrival to the end of the permit, the host side's clock counts at least the shrunk
 *       time of the entry side's clock. So the host side's clock shows at least start_by when the
 *       permit ends, and start_by lies before E. This needs a sample that arrived before the permit
 *       ends; others are refused.
 *   <li>The host side compares its clock and boot id. Another boot id means another clock origin.
 *       For the target it reads the VM's clock first and its own clock second. A pause between the
 *       two reads shortens the remaining time, so the deadline lies before start_by.
 *   <li>The target is assumed to refuse to start the work after that deadline. This covers pauses
 *       after the host side's check, provided that nobody sets the VM's clock back meanwhile.
 * </ol>
 *
 * <p>A pause before any of these clock reads only shortens the remaining time of the permit.
 */
public final class PermitClock {
    private final KeyTiming timing;

    /**
     * Creates a converter.
     *
     * @param timing bound of the clock-rate error
     */
    public PermitClock(KeyTiming timing) {
        this.timing = timing;
    }

    /**
     * Sample of a host side's clock that a response carried.
     *
     * @param bootId identifies the host side's process
     * @param hostMillis the host side's monotonic clock in milliseconds
     * @param arrivedMillis the entry side's monotonic clock after the response arrived
     */
    public record HostSample(String bootId, long hostMillis, long arrivedMillis) {}

    /**
     * Time on the host side's clock by which the work must start.
     *
     * @param bootId identifies the host side's process
     * @param hostMillis the host side's monotonic clock in milliseconds
     */
    public record StartBy(String bootId, long hostMillis) {}

    /**
     * Converts the length of a granted permit to its end on the entry side's clock.
     *
     * @param claimSentMillis the entry side's monotonic clock before the claim was sent
     * @param lengthMillis length that the owner granted
     * @return the end on the same clock
     */
    public long permitEnd(long claimSentMillis, long lengthMillis) {
        return claimSentMillis + lengthMillis;
    }

    /**
     * Converts a permit's end to the host side's clock.
     *
     * @param permit permit that the entry side holds
     * @param sample sample of the host side's clock
     * @param nowMillis the entry side's monotonic clock
     * @return start_by, or {@link RefusalReason#PERMIT_EXPIRED}
     */
    public Either<RefusalReason, StartBy> startBy(
            Permit permit, HostSample sample, long nowMillis) {
        long remainingMillis = permit.endMillis() - sample.arrivedMillis();
        if (nowMillis >= permit.endMillis() || remainingMillis <= 0) {
            return Either.left(RefusalReason.PERMIT_EXPIRED);
        }
        return Either.right(
                new StartBy(sample.bootId(), sample.hostMillis() + timing.shrink(remainingMillis)));
    }

    /**
     * Checks start_by at the host side and converts it to the target's deadline.
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
