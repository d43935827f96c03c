package org.azureshed.control;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import java.util.List;
import org.azureshed.model.TargetId;

/**
 * Times of the last announcement of each target on this VM.
 *
 * @param lastMillis time of the last announcement by target, on the clock of {@link
 *     ControlEvent.Tick}
 */
record Announcements(Map<TargetId, Long> lastMillis) {
    /**
     * Targets announce themselves every second; after this time without one a target is considered
     * dead.
     */
    static final long EXPIRY_MILLIS = 5_000;

    static Announcements empty() {
        return new Announcements(HashMap.empty());
    }

    Announcements announced(TargetId target, long nowMillis) {
        return new Announcements(lastMillis.put(target, nowMillis));
    }

    Announcements withdrawn(TargetId target) {
        return new Announcements(lastMillis.remove(target));
    }

    List<TargetId> expired(long nowMillis) {
        return lastMillis
                .filterValues(last -> nowMillis - last > EXPIRY_MILLIS)
                .keySet()
                .toJavaList();
    }
}
