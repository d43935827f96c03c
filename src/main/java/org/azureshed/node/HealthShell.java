package org.azureshed.node;

import com.google.protobuf.ByteString;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.azureshed.control.ControlEvent;
import org.azureshed.control.ControlLoop;
import org.azureshed.ejection.EjectionEffect;
import org.azureshed.ejection.EjectionEvent;
import org.azureshed.ejection.EjectionRecord;
import org.azureshed.ejection.EjectionRecordCodec;
import org.azureshed.ejection.HostMeter;
import org.azureshed.ejection.internal.EjectionShell;
import org.azureshed.generated.EjectionNotice;
import org.azureshed.generated.GossipDeltas;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;
import org.azureshed.platform.ObjectStore;
import org.azureshed.telemetry.EventLog;

/** Connects the ejection of targets to the platform, to gossip and to the traffic threads. */
@Singleton
final class HealthShell {
    private final Provider<ControlLoop> control;
    private final EjectionShell ejection;
    private final HostMeter meter;
    private Set<TargetId> hosted = Set.of();

    @Inject
    HealthShell(
            ObjectStore store,
            HttpTargetProber prober,
            HostMeter meter,
            Provider<ControlLoop> control) {
        this.control = control;
        this.meter = meter;
        this.ejection =
                new EjectionShell(
                        store,
                        prober,
                        Thread::startVirtualThread,
                        System::currentTimeMillis,
                        event -> control.get().submit(new ControlEvent.Ejection(event)));
    }

    /** Starts the ticks of ejection. */
    void start() {
        ejection.start();
    }

    /** Stops the ticks. */
    void close() {
        ejection.close();
    }

    /**
     * Carries out an effect. Runs on the control thread and does not block.
     *
     * @param effect the effect
     */
    void carryOut(EjectionEffect effect) {
        ejection.carryOut(effect);
        if (effect instanceof EjectionEffect.RecordChanged(var previous, var current, long version)
                && version > 0) {
            EjectionNotice notice =
                    EjectionNotice.newBuilder()
                            .setService(current.service())
                            .setVersion(version)
                            .setRecord(ByteString.copyFrom(EjectionRecordCodec.encode(current)))
                            .build();
            spread(GossipDeltas.newBuilder().addEjections(notice).build());
        }
    }

    /**
     * Takes records that gossip brought.
     *
     * @param deltas the records
     */
    void heard(GossipDeltas deltas) {
        for (EjectionNotice notice : deltas.getEjectionsList()) {
            EjectionRecordCodec.decode(notice.getRecord().toByteArray())
                    .filterOrElse(
                            record -> record.service().equals(notice.getService()),
                            record -> "the notice is of service " + notice.getService())
                    .peek(record -> heard(record, notice.getVersion()))
                    .peekLeft(
                            problem ->
                                    EventLog.warning("ejection_notice_ignored")
                                            .with("service", notice.getService())
                                            .with("error", problem)
                                            .write());
        }
    }

    private void heard(EjectionRecord record, long version) {
        control.get()
                .submit(new ControlEvent.Ejection(new EjectionEvent.RecordHeard(record, version)));
    }

    /**
     * Follows the targets of this node. Runs on the control thread.
     *
     * @param targets all hosted targets
     */
    void follow(List<TargetInfo> targets) {
        Set<TargetId> present = new HashSet<>();
        targets.forEach(target -> present.add(target.id()));
        for (TargetId known : hosted) {
            if (!present.contains(known)) {
                meter.forget(known);
            }
        }
        hosted = present;
    }

    private void spread(GossipDeltas deltas) {
        control.get().submit(new ControlEvent.Membership(new MembershipEvent.Spread(deltas)));
    }
}
