package org.azureshed.proxy;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.azureshed.model.NodeInfo;

/** Generates attempt ids that are unique in the fleet and across restarts of a node. */
final class ExchangeIds {
    private final String prefix;
    private final AtomicLong next = new AtomicLong();

    ExchangeIds(NodeInfo self) {
        String process = self.id() + "/" + self.incarnation();
        this.prefix =
                Hashing.farmHashFingerprint64()
                                .hashString(process, StandardCharsets.UTF_8)
                                .toString()
                        + "-";
    }

    String next() {
        return prefix + Long.toString(next.incrementAndGet(), Character.MAX_RADIX);
    }
}
