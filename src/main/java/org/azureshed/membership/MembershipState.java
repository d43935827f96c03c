package org.azureshed.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;
import org.azureshed.generated.Activation;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;

/**
 * State of the membership reducer: a node's knowledge of the fleet.
 *
 * @param self this node's own record
 * @param leaving whether this node is about to exit
 * @param table newest known version of each record, including this node's own
 * @param peers other nodes by location; recomputed when the set of nodes changed
 * @param reachability peers that do not reply, in this node's own view
 * @param recent changed records with their remaining sends
 * @param gossipEntries poison suspects and ejection notices by key
 * @param activation the latest known preset, which this node announces to peers
 * @param duplicateIdRepairs how often this node raised its record above that of another process
 *     with the same id
 * @param ownChanges recent changes of the own record that some peers may not have yet
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
        Map<String, GossipEntry> gossipEntries,
        Activation activation,
        int duplicateIdRepairs,
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
     * @param self the node's own record
     * @param seed seed of the random choices until the first gossip round
     * @return the state
     */
    public static MembershipState initial(NodeInfo self, long seed) {
        return initial(self, RecordTable.empty(), seed);
    }

    /**
     * State of a node that knows other nodes.
     *
     * @param self the node's own record
     * @param known records of others
     * @param seed seed of the random choices until the first gossip round
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
     * @return true if it is unreachable or hidden
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
        for (NodeId id : peers.sameZone()) {
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
                gossipEntries,
                activation,
                duplicateIdRepairs,
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
                gossipEntries,
                activation,
                duplicateIdRepairs,
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
                gossipEntries,
                activation,
                duplicateIdRepairs,
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
                gossipEntries,
                activation,
                duplicateIdRepairs,
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
                gossipEntries,
                activation,
                duplicateIdRepairs,
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
                gossipEntries,
                activation,
                duplicateIdRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withGossipEntries(Map<String, GossipEntry> newGossipEntries) {
        return new MembershipState(
                self,
                leaving,
                table,
                peers,
                reachability,
                recent,
                newGossipEntries,
                activation,
                duplicateIdRepairs,
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
                gossipEntries,
                newActivation,
                duplicateIdRepairs,
                ownChanges,
                nowMillis,
                seed);
    }

    MembershipState withDuplicateIdRepairs(int newDuplicateIdRepairs) {
        return new MembershipState(
                self,
                leaving,
                table,
                peers,
                reachability,
                recent,
                gossipEntries,
                activation,
                newDuplicateIdRepairs,
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
                gossipEntries,
                activation,
                duplicateIdRepairs,
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
                gossipEntries,
                activation,
                duplicateIdRepairs,
                ownChanges,
                newNowMillis,
                newSeed);
    }
}
