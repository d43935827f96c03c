package org.azureshed.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.azureshed.control.Step;
import org.azureshed.generated.ControlMessage;
import org.azureshed.model.Endpoint;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/** Mutable state and effects while one event is reduced. */
final class Draft {
    /** The state so far. */
    MembershipState state;

    /** Seeded from the state, so that reducing is deterministic. */
    final SplittableRandom random;

    private final List<MembershipEffect> effects = new ArrayList<>();
    private final Map<NodeId, Optional<NodeInfo>> view = new LinkedHashMap<>();

    Draft(MembershipState state) {
        this.state = state;
        this.random = new SplittableRandom(state.seed());
    }

    void add(MembershipEffect effect) {
        effects.add(effect);
    }

    void request(Endpoint to, ControlMessage message, RequestPurpose purpose, long timeoutMillis) {
        add(new MembershipEffect.Request(to, message, purpose, timeoutMillis));
    }

    void updated(NodeInfo info) {
        view.put(info.id(), Optional.of(info));
    }

    void removed(NodeId id) {
        view.put(id, Optional.empty());
    }

    Optional<Endpoint> endpoint(NodeId id) {
        return state.table().get(id).flatMap(MemberRecord::info).map(NodeInfo::control);
    }

    void refreshPeers() {
        if (!state.peers().current()) {
            state = state.withPeers(PeerIndex.of(state.table(), state.self()));
        }
    }

    /**
     * Chooses a peer that is in none of the stages of {@link Reachability}.
     *
     * @return the peer, or empty if none was found in a few random draws
     */
    Optional<NodeId> randomPeer(List<NodeId> from, List<NodeId> except) {
        int tries = Math.min(8, from.size() * 2);
        for (int i = 0; i < tries; i++) {
            NodeId id = from.get(random.nextInt(from.size()));
            if (!except.contains(id) && !state.reachability().containsKey(id)) {
                return Optional.of(id);
            }
        }
        return Optional.empty();
    }

    Step<MembershipState, MembershipEffect> finish() {
        if (!view.isEmpty()) {
            List<NodeInfo> updated = new ArrayList<>();
            List<NodeId> removed = new ArrayList<>();
            view.forEach((id, info) -> info.ifPresentOrElse(updated::add, () -> removed.add(id)));
            effects.add(0, new MembershipEffect.ViewChanged(updated, removed));
        }
        return new Step<>(state.withTime(state.nowMillis(), random.nextLong()), effects);
    }
}
