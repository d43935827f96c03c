package org.azureshed.ejection;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.HashSet;
import java.util.Set;
import org.azureshed.model.NodeId;
import org.azureshed.model.TargetId;

/**
 * A node's state of the ejections of one service.
 *
 * @param floorPercent percentage of the announced slots that must serve
 * @param nodes number of nodes that may propose ejections
 * @param targets announced targets in any state
 * @param readySinceMillis since when each ready target has been ready
 * @param goneSinceMillis since when targets of the record are no longer announced
 * @param detector data of the outlier detector
 * @param record the latest known agreed record
 * @param version version of the record; 0 if none is known
 * @param operation step of the change in progress
 * @param readmissions progress of the targets of the record that this node hosts
 * @param crashLoops number of crashes of hosted targets in a crash loop
 */
record ServiceState(
        int floorPercent,
        int nodes,
        Map<TargetId, TargetView> targets,
        Map<TargetId, Long> readySinceMillis,
        Map<TargetId, Long> goneSinceMillis,
        DetectorState detector,
        EjectionRecord record,
        long version,
        Operation operation,
        Map<TargetId, Readmission> readmissions,
        Map<TargetId, Integer> crashLoops) {
    /** A new target with cold caches is slower than its peers for about this time. */
    static final long COLD_START_MILLIS = 30_000;

    /** Floor before a preset is known: no target may be ejected. */
    private static final int NO_EJECTION_FLOOR_PERCENT = 100;

    static ServiceState initial(String service) {
        return new ServiceState(
                NO_EJECTION_FLOOR_PERCENT,
                1,
                HashMap.empty(),
                HashMap.empty(),
                HashMap.empty(),
                DetectorState.empty(),
                EjectionRecord.empty(service),
                0,
                new Operation.Idle(),
                HashMap.empty(),
                HashMap.empty());
    }

    FloorCheck floor() {
        return new FloorCheck(targets.toJavaMap().values(), floorPercent);
    }

    /**
     * Targets with a digest that are compared with each other: ready and not ejected. The value is
     * the end of the target's cold start; earlier windows are ignored.
     */
    java.util.Map<TargetId, Long> comparableSince() {
        java.util.Map<TargetId, Long> result = new java.util.HashMap<>();
        // Iterates over digests, since a node has those of its subset only, few of a large service.
        for (var received : detector.latest()) {
            TargetId id = received._1();
            if (comparable(id)) {
                result.put(id, readySinceMillis.get(id).get() + COLD_START_MILLIS);
            }
        }
        return result;
    }

    /** Whether a target is compared with its peers, apart from its cold start. */
    boolean comparable(TargetId id) {
        TargetView target = targets.getOrElse(id, null);
        return target != null
                && target.ready()
                && readySinceMillis.containsKey(id)
                && record.percentOf(id) > 0;
    }

    ServiceState withAnnounced(EjectionEvent.ServiceUpdated event, long nowMillis) {
        Map<TargetId, TargetView> views = HashMap.empty();
        Map<TargetId, Long> since = HashMap.empty();
        Set<TargetId> ids = new HashSet<>();
        for (TargetView target : event.targets()) {
            ids.add(target.id());
            views = views.put(target.id(), target);
            if (target.ready()) {
                since = since.put(target.id(), readySinceMillis.getOrElse(target.id(), nowMillis));
            }
        }
        return new ServiceState(
                event.floorPercent(),
                event.nodes(),
                views,
                since,
                goneSinceMillis,
                detector.retain(ids),
                record,
                version,
                operation,
                readmissions.filterKeys(ids::contains),
                crashLoops.filterKeys(ids::contains));
    }

    /** Replaces the record by another version. */
    ServiceState adopt(EjectionRecord next, long nextVersion, NodeId self, long nowMillis) {
        DetectorState nextDetector = detector;
        Map<TargetId, Readmission> progress = HashMap.empty();
        for (EjectedTarget entry : next.targets()) {
            TargetId id = entry.target();
            boolean stageChanged =
                    !record.find(id)
                            .map(EjectedTarget::stage)
                            .equals(java.util.Optional.of(entry.stage()));
            if (stageChanged && entry.stage() == Stage.EJECTED) {
                nextDetector = nextDetector.without(id);
            }
            if (entry.node().equals(self)) {
                Readmission fresh = Readmission.entered(entry.stage(), nowMillis);
                progress =
                        progress.put(id, stageChanged ? fresh : readmissions.getOrElse(id, fresh));
            }
        }
        return new ServiceState(
                floorPercent,
                nodes,
                targets,
                readySinceMillis,
                goneSinceMillis.filterKeys(id -> next.find(id).isPresent()),
                nextDetector,
                next,
                nextVersion,
                operation,
                progress,
                crashLoops.filterKeys(id -> next.find(id).isEmpty()));
    }

    /** Updates since when targets of the record are no longer announced. */
    ServiceState trackGone(long nowMillis) {
        if (record.targets().isEmpty() && goneSinceMillis.isEmpty()) {
            return this;
        }
        Map<TargetId, Long> gone = HashMap.empty();
        for (EjectedTarget entry : record.targets()) {
            if (!targets.containsKey(entry.target())) {
                gone =
                        gone.put(
                                entry.target(),
                                goneSinceMillis.getOrElse(entry.target(), nowMillis));
            }
        }
        return withMaps(gone, detector, readmissions, crashLoops);
    }

    ServiceState withDetector(DetectorState next) {
        return withMaps(goneSinceMillis, next, readmissions, crashLoops);
    }

    ServiceState withReadmission(TargetId target, Readmission next) {
        return withMaps(goneSinceMillis, detector, readmissions.put(target, next), crashLoops);
    }

    ServiceState withCrashLoop(TargetId target, int crashes) {
        return withMaps(goneSinceMillis, detector, readmissions, crashLoops.put(target, crashes));
    }

    ServiceState withOperation(Operation next) {
        return new ServiceState(
                floorPercent,
                nodes,
                targets,
                readySinceMillis,
                goneSinceMillis,
                detector,
                record,
                version,
                next,
                readmissions,
                crashLoops);
    }

    private ServiceState withMaps(
            Map<TargetId, Long> gone,
            DetectorState nextDetector,
            Map<TargetId, Readmission> progress,
            Map<TargetId, Integer> loops) {
        return new ServiceState(
                floorPercent,
                nodes,
                targets,
                readySinceMillis,
                gone,
                nextDetector,
                record,
                version,
                operation,
                progress,
                loops);
    }
}
