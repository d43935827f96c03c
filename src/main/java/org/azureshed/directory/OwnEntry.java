package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Optional;

/**
 * The directory entry of this node, as its current process publishes it. Not thread-safe.
 *
 * <p>Entries of the same name that come from elsewhere are news of an earlier process: its
 * departures hold for good, and its incarnation must be exceeded so that the other nodes accept the
 * current entry.
 */
public final class OwnEntry {
    private NodeEntry entry;

    /**
     * What an entry of an earlier process means for the current one.
     *
     * @param departures departures that the current entry lacks
     * @param previousTarget the target that the earlier process published; empty if there is none
     * @param superseding whether other nodes prefer the earlier entry to the current one
     */
    public record News(
            Departures departures, Optional<TargetEntry> previousTarget, boolean superseding) {}

    /**
     * Creates the holder of an entry.
     *
     * @param entry entry of a process that knows no target yet
     */
    public OwnEntry(NodeEntry entry) {
        this.entry = entry;
    }

    /**
     * The current entry.
     *
     * @return the entry to publish and to store
     */
    public NodeEntry entry() {
        return entry;
    }

    /**
     * Changes the published target.
     *
     * @param target the target, or empty if there is none
     */
    public void setTarget(Optional<TargetEntry> target) {
        replace(entry.incarnation(), target, entry.departures());
    }

    /**
     * Adds acknowledged departures.
     *
     * @param more departures to add
     * @return true if the entry changed
     */
    public boolean addDepartures(Departures more) {
        if (entry.departures().containsAll(more)) {
            return false;
        }
        replace(entry.incarnation(), entry.target(), entry.departures().union(more));
        return true;
    }

    /**
     * Makes this entry supersede another one.
     *
     * @param other an entry of the same name, or one that claims the address of this node
     */
    public void raiseAbove(NodeEntry other) {
        replace(other.incarnation() + 1, entry.target(), entry.departures());
    }

    /**
     * Compares an entry of the same name with the current one. Changes nothing.
     *
     * @param other an entry from the store or another node
     * @return what the current process has to learn from it
     */
    public News compare(NodeEntry other) {
        checkArgument(other.name().equals(entry.name()), "entry of node %s", other.name());
        boolean ownEarlierState =
                other.incarnation() == entry.incarnation() && other.revision() <= entry.revision();
        boolean sameAddress = other.address().equals(entry.address());
        return new News(
                entry.departures().containsAll(other.departures())
                        ? Departures.NONE
                        : other.departures(),
                ownEarlierState || !sameAddress ? Optional.empty() : other.target(),
                !ownEarlierState && other.supersedes(entry));
    }

    private void replace(long incarnation, Optional<TargetEntry> target, Departures departures) {
        entry =
                new NodeEntry(
                        entry.name(),
                        entry.availabilityZone(),
                        entry.address(),
                        incarnation,
                        entry.revision() + 1,
                        target,
                        departures);
    }
}
