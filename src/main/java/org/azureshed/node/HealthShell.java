package org.azureshed.node;

import com.google.protobuf.ByteString;
import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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
import org.azureshed.poison.CrashWatch;
import org.azureshed.poison.PoisonEffect;
import org.azureshed.poison.PoisonEvent;
import org.azureshed.poison.PoisonView;
import org.azureshed.poison.Suspects;
import org.azureshed.telemetry.EventLog;

/** Connects ejection and poison detection to the platform, gossip and the traffic threads. */
@Singleton
final class HealthShell {
    private final Provider<ControlLoop> control;
    private final EjectionShell ejection;
    private final HostMeter meter;
    private final CrashWatch crashes;
    private final Suspects suspects;
    private Set<TargetId> hosted = Set.of();

    @Inject
    HealthShell(
            ObjectStore store,
            HttpTargetProber prober,
            HostMeter meter,
            CrashWatch crashes,
            Suspects suspects,
            Provider<ControlLoop> control) {
        this.control = control;
        this.meter = meter;
        this.crashes = crashes;
        this.suspects = suspects;
        this.ejection =
                new EjectionShell(
                        store,
                        prober,
                        Thread::startVirtualThread,
                        System::currentTimeMillis,
                        this::submit);
    }

    /**
     * Starts the periodic ticks of ejection and poison detection. Must be called before events can
     * arrive.
     */
    void start() {
        // Sets the time first: entries received before the first tick would expire with that tick.
        submit(new PoisonEvent.Tick(TimeUnit.NANOSECONDS.toMillis(System.nanoTime())));
        ejection.start();
    }

    private void submit(EjectionEvent event) {
        control.get().submit(new ControlEvent.Ejection(event));
        if (event instanceof EjectionEvent.Tick(long now, long seed)) {
            submit(new PoisonEvent.Tick(now));
        }
    }

    private void submit(PoisonEvent event) {
        control.get().submit(new ControlEvent.Poison(event));
    }

    /** Stops the periodic ticks. */
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
            gossip(GossipDeltas.newBuilder().addEjections(notice).build());
        }
    }

    /**
     * Carries out an effect. Runs on the control thread and does not block.
     *
     * @param effect the effect
     */
    void carryOut(PoisonEffect effect) {
        switch (effect) {
            case PoisonEffect.PublishView(PoisonView view) -> {
                suspects.publish(view);
                EventLog.info("poison_suspects_changed")
                        .with("suspects", view.crashes().size())
                        .with("held", view.provisional().size())
                        .write();
            }
            case PoisonEffect.GossipEntries(var entries) -> gossip(SuspectMessages.encode(entries));
            case PoisonEffect.CrashLoop(String service, TargetId target, int count) ->
                    EventLog.warning("target_crash_loop")
                            .with("service", service)
                            .with("target", target)
                            .with("crashes", count)
                            .write();
        }
    }

    /**
     * Submits the suspects and ejection records received by gossip.
     *
     * @param deltas the received gossip records
     */
    void received(GossipDeltas deltas) {
        if (deltas.getSuspectsCount() > 0) {
            submit(new PoisonEvent.SuspectsReceived(SuspectMessages.decode(deltas)));
        }
        for (EjectionNotice notice : deltas.getEjectionsList()) {
            EjectionRecordCodec.decode(notice.getRecord().toByteArray())
                    .filterOrElse(
                            record -> record.service().equals(notice.getService()),
                            record -> "the notice is of service " + notice.getService())
                    .peek(record -> received(record, notice.getVersion()))
                    .peekLeft(
                            problem ->
                                    EventLog.warning("ejection_notice_ignored")
                                            .with("service", notice.getService())
                                            .with("error", problem)
                                            .write());
        }
    }

    private void received(EjectionRecord record, long version) {
        submit(new EjectionEvent.RecordReceived(record, version));
    }

    /**
     * Handles a change of this node's targets: removes the measurements of targets that are no
     * longer hosted and reports those that crashed. Runs on the control thread.
     *
     * @param targets all targets that are hosted now
     */
    void updateHostedTargets(List<TargetInfo> targets) {
        Set<TargetId> present = new HashSet<>();
        targets.forEach(target -> present.add(target.id()));
        for (TargetId known : hosted) {
            if (!present.contains(known)) {
                meter.forget(known);
                long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
                crashes.crashed(known, now)
                        .filter(report -> !report.inFlight().isEmpty())
                        .ifPresent(report -> submit(new PoisonEvent.TargetCrashed(report)));
            }
        }
        hosted = present;
    }

    private void gossip(GossipDeltas deltas) {
        control.get()
                .submit(
                        new ControlEvent.Membership(
                                new MembershipEvent.GossipEntriesAdded(deltas)));
    }
}
