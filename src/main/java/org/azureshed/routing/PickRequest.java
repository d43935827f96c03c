package org.azureshed.routing;

import java.util.List;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * What one choice depends on.
 *
 * @param candidates all targets of the service, in any state; the same list object as long as
 *     nothing has changed, since the subset is computed once per list
 * @param entryNodes number of nodes whose entry side sends to the service
 * @param tried targets that earlier attempts of the request used
 * @param avoided nodes that {@link PathHealth} avoids
 * @param weightPercent weight of a target from 0 (ejected) to 100
 */
public record PickRequest(
        List<Candidate> candidates,
        int entryNodes,
        Set<TargetId> tried,
        Set<NodeId> avoided,
        ToIntFunction<TargetId> weightPercent) {}
