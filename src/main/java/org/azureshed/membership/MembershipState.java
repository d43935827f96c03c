package org.azureshed.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;
import org.azureshed.generated.Activation;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/**
 * What a node knows of the fleet.
 *
 * @param self this node's own record
 * @param leaving whether this node is about to exit
 * @param table newest known versions, with this node's own
 * @param peers addresses to gossip with; recomputed when the set of nodes changed
 * @param reachability peers that do not reply, in this node's own view
 * @param recent changed records and how many more exchanges carry them
 * @param spread poison suspects and ejection notices by key
 * @param activation what this node tells peers of the preset in force
 * @param foreignRepairs how often the own record was repaired against another process of this id
 * @param ownChanges changes of the own record that some peers may not have yet
 * @param nowMillis time of the last gossip round
 * @param seed source of the next random numbers
 */
public record MembershipState(
        NodeInfo self,
        boolean leaving,
        RecordTable table,
        PeerIndex peers,
        Map<NodeId, Reachability> reachability,
        Map<NodeId, RecentChange> recent,
        Map<String, SpreadItem> spread,
        Activation activation,
        int foreignRepairs,
        List<OwnChange> ownChanges,
        long nowMillis,
        long seed) {
    /** Copies the list. */
    public MembershipState {
        ownChanges = List.copyOf(ownChanges);
    }

    /**
     * State of a node that knows only itself.
     *
     * @param self its record
     * @param seed random number
     * @return the state
     */
    public static MembershipState initial(NodeInfo self, long seed) {
        return initial(self, RecordTable.empty(), seed);
    }

    /**
     * State of a node that knows other nodes.
     *
     * @param self its record
     * @param known records of others
     * @param seed random number
     * @return the state
     */
    public static MembershipState initial(NodeInfo self, RecordTable known, long seed) {
        return new MembershipState(
                self,
                false,
                known.put(MemberRecord.of(self)),
                PeerIndex.empty(),
                HashMap.empty(),
                HashMap.empty(),
                HashMap.empty(),
                Activation.getDefaultInstance(),
                0,
                List.of(),
                0,
                seed);
    }

    /**
     * Finds the record of a node in this node's view.
     *
     * @param id the node
     * @return the record, or empty if the node is unknown, removed or hidden
     */
    public java.util.Optional<NodeInfo> visible(NodeId id) {
        boolean hidden =
                reachability.get(id).exists(peer -> peer.stage() == Reachability.Stage.HIDDEN);
        return hidden ? java.util.Optional.empty() : table.get(id).flatMap(MemberRecord::info);
    }

    /**
     * Tells whether this node avoids a peer.
     *
     * @param id the peer
     * @return true if it did not reply for some time
     */
    public boolean unreachable(NodeId id) {
        return reachability.get(id).exists(Reachability::avoided);
    }

    /**
     * The nodes of this node's availability zone that it can reach, with itself.
     *
     * @return their ids
     */
    public List<NodeId> reachableInZone() {
        List<NodeId> ids = new java.util.ArrayList<>();
        ids.add(self.id());
        for (NodeId id : peers.own()) {
            if (!unreachable(id)) {
                ids.add(id);
            }
        }
        return ids;
    }

    MembershipState withSelf(NodeInfo newSelf) {
        return new MembershipState(
                newSelf,
                leaving,
                table.put(MemberRecord.of(newSelf)),
                peers,
                reachability,
                recent,
                spread,
                activation,
                foreignRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withLeaving() {
        return new MembershipState(
                self,
                true,
                table,
                peers,
                reachability,
                recent,
                spread,
                activation,
                foreignRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withTable(RecordTable newTable) {
        return new MembershipState(
                self,
                leaving,
                newTable,
                peers,
                reachability,
                recent,
                spread,
                activation,
                foreignRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withPeers(PeerIndex newPeers) {
        return new MembershipState(
                self,
                leaving,
                table,
                newPeers,
                reachability,
                recent,
                spread,
                activation,
                foreignRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withReachability(Map<NodeId, Reachability> newReachability) {
        return new MembershipState(
                self,
                leaving,
                table,
                peers,
                newReachability,
                recent,
                spread,
                activation,
                foreignRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withRecent(Map<NodeId, RecentChange> newRecent) {
        return new MembershipState(
                self,
                leaving,
                table,
                peers,
                reachability,
                newRecent,
                spread,
                activation,
                foreignRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withSpread(Map<String, SpreadItem> newSpread) {
        return new MembershipState(
                self,
                leaving,
                table,
                peers,
                reachability,
                recent,
                newSpread,
                activation,
                foreignRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withActivation(Activation newActivation) {
        return new MembershipState(
                self,
                leaving,
                table,
                peers,
                reachability,
                recent,
                spread,
                newActivation,
                foreignRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withForeignRepairs(int newForeignRepairs) {
        return new MembershipState(
                self,
                leaving,
                table,
                peers,
                reachability,
                recent,
                spread,
                activation,
                newForeignRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withOwnChanges(List<OwnChange> newOwnChanges) {
        return new MembershipState(
                self,
                leaving,
                table,
                peers,
                reachability,
                recent,
                spread,
                activation,
                foreignRepairs,
                newOwnChanges,
                nowMillis,
                seed);
    }

    MembershipState withTime(long newNowMillis, long newSeed) {
        return new MembershipState(
                self,
                leaving,
                table,
                peers,
                reachability,
                recent,
                spread,
                activation,
                foreignRepairs,
                ownChanges,
                newNowMillis,
                newSeed);
    }
}
