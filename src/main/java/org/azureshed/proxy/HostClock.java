package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.util.concurrent.TimeUnit;
import org.azureshed.model.NodeInfo;

/** Monotonic clock of this process, with an id that changes when the process restarts. */
@Singleton
final class HostClock {
    private final long bootId;

    @Inject
    HostClock(NodeInfo self) {
        this.bootId = self.incarnation();
    }

    long bootId() {
        return bootId;
    }

    long millis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
