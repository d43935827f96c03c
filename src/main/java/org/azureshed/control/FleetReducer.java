package org.azureshed.control;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import org.azureshed.distribution.Announcement;
import org.azureshed.distribution.ContentDigest;
import org.azureshed.distribution.DistributionEffect;
import org.azureshed.distribution.DistributionEvent;
import org.azureshed.distribution.DistributionReducer;
import org.azureshed.generated.Activation;
import org.azureshed.membership.MemberRecord;
import org.azureshed.membership.MembershipEffect;
import org.azureshed.membership.MembershipEvent;
import org.azureshed.membership.MembershipReducer;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/**
 * Passes control events to the membership and distribution reducers and exchanges their results.
 */
final class FleetReducer {
    private final MembershipReducer membership;
    private final DistributionReducer distribution = new DistributionReducer();

    FleetReducer(List<Endpoint> seeds) {
        this.membership = new MembershipReducer(seeds);
    }

    /**
     * Passes an event to membership and distribution after the top-level reducer has reduced it.
     */
    Step<ControlState, Effect> reduceNested(
            ControlState before, ControlEvent event, Step<ControlState, Effect> step) {
        Run run = new Run(step.state());
        if (!before.self().equals(step.state().self())) {
            run.membershipEvents.add(new MembershipEvent.SelfChanged(step.state().self()));
        }
        switch (event) {
            case ControlEvent.NodesListed(List<NodeInfo> nodes) -> {
                run.state = run.state.withFleet(run.state.fleet().withRoleDecided());
                run.membershipEvents.add(new MembershipEvent.RecordsRead(nodes));
                pingUnlisted(run, before, nodes);
            }
            case ControlEvent.NodeSeen(NodeInfo node) ->
                    run.membershipEvents.add(new MembershipEvent.RecordsRead(List.of(node)));
            case ControlEvent.NodeDeleted(NodeId id) ->
                    before.fleet()
                            .membership()
                            .table()
                            .get(id)
                            .map(FleetReducer::deleted)
                            .ifPresent(run.membershipEvents::add);
            case ControlEvent.Membership(MembershipEvent inner) -> {
                run.membershipEvents.add(inner);
                if (inner instanceof MembershipEvent.GossipDue(long now, long seed)) {
                    run.distributionEvents.add(new DistributionEvent.Tick(now, ~seed));
                    run.zoneUpdateDue = before.fleet().roundsBeforeRole() == 0;
                    FleetState next = before.fleet().afterRound(!before.nodes().isEmpty());
                    run.state = run.state.withFleet(next);
                }
            }
            case ControlEvent.Distribution(DistributionEvent inner) ->
                    run.distributionEvents.add(inner);
            default -> {
                // Affects other nodes at most by the change of the own record queued above.
            }
        }
        return run.finish(step);
    }

    private static void pingUnlisted(Run run, ControlState before, List<NodeInfo> listed) {
        java.util.Set<NodeId> ids = new java.util.HashSet<>();
        listed.forEach(node -> ids.add(node.id()));
        for (NodeId id : before.nodes().keySet()) {
            if (!ids.contains(id)) {
                run.membershipEvents.add(new MembershipEvent.ContactFailed(id));
            }
        }
    }

    private static MembershipEvent deleted(MemberRecord record) {
        return new MembershipEvent.RecordDeleted(
                record.id(), record.incarnation(), record.sequence());
    }

    /** Reduces queued events, and those that they cause, until both queues are empty. */
    private final class Run {
        final Queue<MembershipEvent> membershipEvents = new ArrayDeque<>();
        final Queue<DistributionEvent> distributionEvents = new ArrayDeque<>();
        private final List<Effect> effects = new ArrayList<>();
        private ControlState state;
        private boolean snapshotChanged;
        private boolean zoneUpdateDue;

        Run(ControlState state) {
            this.state = state;
        }

        Step<ControlState, Effect> finish(Step<ControlState, Effect> first) {
            while (!membershipEvents.isEmpty() || !distributionEvents.isEmpty()) {
                if (!membershipEvents.isEmpty()) {
                    var step =
                            membership.reduce(
                                    state.fleet().membership(), membershipEvents.remove());
                    state = state.withFleet(state.fleet().withMembership(step.state()));
                    step.effects().forEach(this::handle);
                } else {
                    var step =
                            distribution.reduce(
                                    state.fleet().distribution(), distributionEvents.remove());
                    state = state.withFleet(state.fleet().withDistribution(step.state()));
                    step.effects().forEach(this::handle);
                }
                if (zoneUpdateDue) {
                    zoneUpdateDue = false;
                    distributionEvents.add(
                            new DistributionEvent.ZoneChanged(
                                    state.fleet().membership().reachableInZone()));
                }
            }
            List<Effect> all = new ArrayList<>(first.effects());
            if (snapshotChanged) {
                all.add(new Effect.PublishSnapshot(state.snapshot()));
            }
            all.addAll(effects);
            return new Step<>(state, all);
        }

        private void handle(MembershipEffect effect) {
            switch (effect) {
                case MembershipEffect.ViewChanged(var updated, var removed) ->
                        changeView(updated, removed);
                case MembershipEffect.SelfRepaired(NodeInfo self) -> {
                    state = state.withSelf(self);
                    snapshotChanged = true;
                    effects.add(new Effect.PublishSelf(self));
                }
                case MembershipEffect.ActivationReceived(var peer, var endpoint, var activation) ->
                        announcement(activation)
                                .ifPresent(
                                        received ->
                                                distributionEvents.add(
                                                        new DistributionEvent.AnnouncementReceived(
                                                                peer, endpoint, received)));
                default -> effects.add(new Effect.Membership(effect));
            }
        }

        private void handle(DistributionEffect effect) {
            if (effect instanceof DistributionEffect.Announce(Announcement announcement)) {
                membershipEvents.add(
                        new MembershipEvent.ActivationChanged(activation(announcement)));
            } else {
                effects.add(new Effect.Distribution(effect));
            }
        }

        private void changeView(List<NodeInfo> updated, List<NodeId> removed) {
            ControlState next = state.withNodes(updated, removed);
            snapshotChanged |= next != state;
            state = next;
        }
    }

    private static Activation activation(Announcement announcement) {
        return Activation.newBuilder()
                .setNumber(announcement.number())
                .setManifestDigest(ByteString.copyFrom(announcement.manifest().toBytes()))
                .setComplete(announcement.complete())
                .build();
    }

    private static Optional<Announcement> announcement(Activation activation) {
        try {
            return Optional.of(
                    new Announcement(
                            activation.getNumber(),
                            ContentDigest.fromBytes(activation.getManifestDigest().toByteArray()),
                            activation.getComplete()));
        } catch (IllegalArgumentException ignored) {
            // Ignores a malformed announcement.
            return Optional.empty();
        }
    }
}
