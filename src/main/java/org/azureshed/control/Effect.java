package org.azureshed.control;

import org.azureshed.distribution.DistributionEffect;
import org.azureshed.ejection.EjectionEffect;
import org.azureshed.idempotency.OwnerEffect;
import org.azureshed.membership.MembershipEffect;
import org.azureshed.model.NodeInfo;
import org.azureshed.poison.PoisonEffect;

/** An action that {@link ControlReducer} requests; the caller of the reducer carries it out. */
public sealed interface Effect {
    /**
     * Writes this node's record to the platform.
     *
     * @param self the record
     */
    record PublishSelf(NodeInfo self) implements Effect {}

    /**
     * Replaces the snapshot that traffic threads read.
     *
     * @param snapshot the new snapshot
     */
    record PublishSnapshot(Snapshot snapshot) implements Effect {}

    /**
     * Writes a log line about the preset in force.
     *
     * @param active the preset that came into force
     */
    record PresetInForce(ActivePreset active) implements Effect {}

    /**
     * Carries out an effect of the membership reducer.
     *
     * @param effect requested by that reducer
     */
    record Membership(MembershipEffect effect) implements Effect {}

    /**
     * Carries out an effect of the distribution reducer.
     *
     * @param effect requested by that reducer
     */
    record Distribution(DistributionEffect effect) implements Effect {}

    /**
     * Carries out an effect of the reducer of idempotency key ranges.
     *
     * @param effect requested by that reducer
     */
    record Keys(OwnerEffect effect) implements Effect {}

    /**
     * Carries out an effect of the ejection reducer.
     *
     * @param effect requested by that reducer
     */
    record Ejection(EjectionEffect effect) implements Effect {}

    /**
     * Carries out an effect of the poison reducer.
     *
     * @param effect requested by that reducer
     */
    record Poison(PoisonEffect effect) implements Effect {}
}
