package org.azureshed.directory;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.azureshed.model.Endpoint;

/**
 * All nodes and targets known to this node. Entries are merged by incarnation and revision, so all
 * nodes converge on the same directory in whichever order they receive the entries. Not
 * thread-safe.
 *
 * <pre>{@code
 * directory.merge(entry);
 * List<NodeEntry> candidates = directory.usable("reader");
 * }</pre>
 */
public final class Directory {
    private final Map<String, NodeEntry> entries = new TreeMap<>();
    private final Map<Endpoint, String> nodeByAddress = new HashMap<>();
    private final Map<String, List<NodeEntry>> usableByService = new HashMap<>();

    /**
     * Merges an entry if it is newer than the known one. If two nodes have the same address, it
     * belongs to the one with the higher incarnation, or on a tie to the one merged last, and the
     * other node's entry is dropped. Departures are added whatever the age of the entry: other
     * nodes may know more of them than the node itself does after a restart.
     *
     * @param entry an entry received from its node, the store or another node
     * @return true if the directory changed
     */
    public boolean merge(NodeEntry entry) {
        checkNotNull(entry, "entry");
        NodeEntry known = entries.get(entry.name());
        if (known != null && !entry.supersedes(known)) {
            return replace(known, known.withDepartures(entry.departures()));
        }
        String holderName = nodeByAddress.get(entry.address());
        if (holderName != null && !holderName.equals(entry.name())) {
            NodeEntry holder = entries.get(holderName);
            if (holder != null && holder.incarnation() > entry.incarnation()) {
                return false;
            }
            entries.remove(holderName);
        }
        if (known != null) {
            nodeByAddress.remove(known.address(), known.name());
        }
        entries.put(entry.name(), known == null ? entry : entry.withDepartures(known.departures()));
        nodeByAddress.put(entry.address(), entry.name());
        usableByService.clear();
        return true;
    }

    private boolean replace(NodeEntry known, NodeEntry changed) {
        if (changed.equals(known)) {
            return false;
        }
        entries.put(changed.name(), changed);
        usableByService.clear();
        return true;
    }

    /**
     * Removes a node, for example because the store no longer lists it.
     *
     * @param name name of the node
     */
    public void remove(String name) {
        NodeEntry removed = entries.remove(name);
        if (removed != null) {
            nodeByAddress.remove(removed.address(), name);
            usableByService.clear();
        }
    }

    /**
     * The nodes whose target accepts requests for a service.
     *
     * @param service name of the service
     * @return entries with a usable target, ordered by node name
     */
    public List<NodeEntry> usable(String service) {
        return usableByService.computeIfAbsent(service, this::findUsable);
    }

    /**
     * Finds a node.
     *
     * @param name name of the node
     * @return the node's entry, or empty if the node is unknown
     */
    public Optional<NodeEntry> node(String name) {
        return Optional.ofNullable(entries.get(name));
    }

    /**
     * All entries.
     *
     * @return an unmodifiable view, ordered by node name
     */
    public Collection<NodeEntry> nodes() {
        return java.util.Collections.unmodifiableCollection(entries.values());
    }

    /**
     * A digest of all entries; nodes with equal digests have the same directory.
     *
     * @return a checksum of names, incarnations, revisions and departures
     */
    public long digest() {
        CRC32C checksum = new CRC32C();
        entries.values().forEach(entry -> checksum.update(versionBytes(entry)));
        return checksum.getValue();
    }

    private static byte[] versionBytes(NodeEntry entry) {
        String version =
                entry.name()
                        + '/'
                        + entry.incarnation()
                        + '/'
                        + entry.revision()
                        + '/'
                        + entry.departures().lastStarts().hashCode()
                        + '\n';
        return version.getBytes(StandardCharsets.UTF_8);
    }

    private List<NodeEntry> findUsable(String service) {
        List<NodeEntry> found = new ArrayList<>();
        for (NodeEntry entry : entries.values()) {
            if (entry.target().filter(target -> serves(entry, target, service)).isPresent()) {
                found.add(entry);
            }
        }
        return List.copyOf(found);
    }

    private static boolean serves(NodeEntry entry, TargetEntry target, String service) {
        return target.condition().usable()
                && target.service().equals(service)
                && !entry.departures().covers(target.id(), target.startMillis());
    }
}
