package org.azureshed.ejection;

import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * A target that the fleet agreed to eject, until it is fully readmitted.
 *
 * @param target the ejected target
 * @param node the node that hosts it and decides its readmission
 * @param stage the share of requests that it receives
 * @param sinceMillis platform time of the last ejection, in milliseconds since the epoch
 * @param relapses number of failed readmissions; each doubles the wait before the next attempt
 * @param evidence reason of the last ejection
 */
public record EjectedTarget(
        TargetId target,
        NodeId node,
        Stage stage,
        long sinceMillis,
        int relapses,
        Evidence evidence) {
    /** Copies this entry with another stage. */
    EjectedTarget withStage(Stage newStage) {
        return new EjectedTarget(target, node, newStage, sinceMillis, relapses, evidence);
    }
}
