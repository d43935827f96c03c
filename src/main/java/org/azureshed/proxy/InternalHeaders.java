package org.azureshed.proxy;

import java.util.Locale;
import java.util.Set;

/** Names of the headers between nodes and between a node and its targets. */
public final class InternalHeaders {
    /** Prefix of all internal headers; a caller's headers of this prefix are removed. */
    public static final String PREFIX = "Azureshed-";

    /** Id of one attempt to run a request; echoed in the answer. */
    public static final String EXCHANGE = PREFIX + "Exchange";

    /** Id of the target that the request is sent to. */
    public static final String TARGET = PREFIX + "Target";

    /** Service of the route. */
    public static final String SERVICE = PREFIX + "Service";

    /** Id of the route. */
    public static final String ROUTE = PREFIX + "Route";

    /** Name of the request class. */
    public static final String CLASS = PREFIX + "Class";

    /** Organisation that sent the request. */
    public static final String ORGANISATION = PREFIX + "Organisation";

    /** Time left until the head of the answer is due, in milliseconds. */
    public static final String DEADLINE_MS = PREFIX + "Deadline-Ms";

    /** Number of the attempt, from 1. */
    public static final String ATTEMPT = PREFIX + "Attempt";

    /** Latest start of a keyed request on the host's clock: boot id, colon, milliseconds. */
    public static final String START_BY = PREFIX + "Start-By";

    /** Latest start of a keyed request on the VM's clock, milliseconds since the epoch. */
    public static final String START_BY_EPOCH_MS = PREFIX + "Start-By-Epoch-Ms";

    /** Requests the clock of a host side, which the answer has in the header of the same name. */
    public static final String CLOCK = PREFIX + "Clock";

    /** Fingerprint of the request, by which requests that crash targets are recognised. */
    public static final String FINGERPRINT = PREFIX + "Fingerprint";

    /** Set to true by a host side if the target crashed after the request was sent. */
    public static final String TARGET_CRASHED = PREFIX + "Target-Crashed";

    /** Outcome in an answer: completed, not-run or unknown. */
    public static final String OUTCOME = PREFIX + "Outcome";

    /** Refusal reason or cause of an unknown outcome. */
    public static final String REASON = PREFIX + "Reason";

    /** Load report of the target and the host. */
    public static final String LOAD = PREFIX + "Load";

    /** Set to true by a target in a 503 answer if it shed the request without running it. */
    public static final String SHED = PREFIX + "Shed";

    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    private InternalHeaders() {}

    /**
     * Whether a header is hop-by-hop, or is generated anew for each hop.
     *
     * @param name header name in any case
     * @return true if it must not be copied
     */
    public static boolean isHopByHop(String name) {
        return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }

    /**
     * Whether a header is internal to the fleet.
     *
     * @param name header name in any case
     * @return true if it starts with {@link #PREFIX}
     */
    public static boolean isInternal(String name) {
        return name.regionMatches(true, 0, PREFIX, 0, PREFIX.length());
    }
}
