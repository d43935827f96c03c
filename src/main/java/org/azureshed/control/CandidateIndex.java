package org.azureshed.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.azureshed.model.NodeId;
import org.azureshed.model.NodeInfo;
import org.azureshed.model.TargetInfo;
import org.azureshed.routing.Candidate;

/**
 * Immutable list of targets for each service.
 *
 * <p>A changed node record replaces only the lists of that node's services. All other lists remain
 * the same objects, because a picker recomputes its subset when the list object changes.
 */
public final class CandidateIndex {
    private static final CandidateIndex EMPTY = new CandidateIndex(Map.of());

    private final Map<String, List<Candidate>> byService;

    private CandidateIndex(Map<String, List<Candidate>> byService) {
        this.byService = byService;
    }

    static CandidateIndex empty() {
        return EMPTY;
    }

    Map<String, List<Candidate>> byService() {
        return byService;
    }

    /**
     * Returns a copy in which the records of some nodes are replaced.
     *
     * @param removed current records of these nodes
     * @param added records that replace them
     */
    CandidateIndex replace(Collection<NodeInfo> removed, Collection<NodeInfo> added) {
        Set<NodeId> removedIds = new HashSet<>();
        removed.forEach(node -> removedIds.add(node.id()));
        Map<String, List<Candidate>> changed = new HashMap<>();
        for (NodeInfo node : removed) {
            for (TargetInfo target : node.targets()) {
                changed.computeIfAbsent(target.service(), name -> without(name, removedIds));
            }
        }
        for (NodeInfo node : added) {
            for (TargetInfo target : node.targets()) {
                changed.computeIfAbsent(target.service(), name -> without(name, removedIds))
                        .add(new Candidate(node, target));
            }
        }
        Map<String, List<Candidate>> next = new HashMap<>(byService);
        changed.forEach(
                (service, list) -> {
                    if (list.isEmpty()) {
                        next.remove(service);
                    } else {
                        next.put(service, List.copyOf(list));
                    }
                });
        return new CandidateIndex(Map.copyOf(next));
    }

    private List<Candidate> without(String service, Set<NodeId> removedIds) {
        List<Candidate> rest = new ArrayList<>();
        for (Candidate candidate : byService.getOrDefault(service, List.of())) {
            if (!removedIds.contains(candidate.node().id())) {
                rest.add(candidate);
            }
        }
        return rest;
    }
}
