package org.azureshed.routing;

import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * Input of one choice of a target.
 *
 * @param candidates all targets of the service, in any state. Callers pass the same list object as
 *     long as nothing has changed, since the subset is computed once per list object
 * @param entryNodes number of nodes whose entry side sends to the service
 * @param tried targets of earlier attempts of the request; they are not chosen again
 * @param avoided nodes behind bad paths, from {@link PathHealth#avoided}
 * @param longRunning whether the request's class is declared as long-running
 * @param weightPercent weight of a target from 0 (ejected) to 100
 */
public record PickRequest(
        List<Candidate> candidates,
        int entryNodes,
        Set<TargetId> tried,
        Set<NodeId> avoided,
        boolean longRunning,
        ToIntFunction<TargetId> weightPercent) {}
