package org.azureshed.model;

/** Why a request was refused without having run. Each reason has its own counter. */
public enum RefusalReason {
    NO_PRESET(503, true, "no preset is in force; put one in force with azureshed preset use"),
    NO_ROUTE(404, false, "no route matches host, path and method; check the preset's routes"),
    NO_TARGET(503, true, "no target of the service is ready; check that its targets announce"),
    UNKNOWN_KEY(
            401,
            false,
            "no organisation holds the request's key; send a key of the active configuration"),
    BAD_FRAMING(400, false, "the request's framing is ambiguous; send one length"),
    HEADER_LIMIT(431, false, "the request has too many or too large headers; send fewer"),
    HEADER_TOO_SLOW(408, false, "the request head arrived too slowly; send it again"),
    BODY_LIMIT(413, false, "the request body is too large; send a smaller one"),
    BODY_TOO_SLOW(408, false, "the request body arrived too slowly; send it again"),
    BAD_HEADER(400, false, "a request header is malformed; correct it"),
    ORGANISATION_RATE(429, true, "the organisation is over its rate; wait and send again"),
    ORGANISATION_CONCURRENCY(
            429, true, "the organisation has too many requests in flight; wait for answers"),
    QUEUE_FULL(503, true, "the targets are busy; wait and send again"),
    QUEUE_TIMEOUT(503, true, "no slot became free in time; wait and send again"),
    DISPLACED(503, true, "more urgent requests took its place; wait and send again"),
    DEADLINE_EXCEEDED(503, true, "the deadline passed before the request was sent to a target"),
    TARGET_DRAINING(503, true, "the target is leaving; send again"),
    TARGET_UNKNOWN(503, true, "the node does not host the target; send again"),
    TARGET_SHED(503, true, "the target shed the request; wait and send again"),
    TARGET_SUSPECT(503, true, "the target fails many requests; send again"),
    TARGET_UNREACHABLE(503, true, "the target accepted no connection; send again"),
    RETRY_BUDGET(503, true, "too many requests are being repeated; wait and send again"),
    NODE_UNREACHABLE(503, true, "the target's node accepted no connection; send again"),
    NODE_DRAINING(503, true, "the node is stopping; send to another node"),
    NODE_OVERLOADED(503, true, "the node handles too many requests; send to another node"),
    PERMIT_EXPIRED(503, true, "the permit of the keyed request ended; send again"),
    KEY_MALFORMED(400, false, "Idempotency-Key must be a UUID of version 7 (RFC 9562)"),
    KEY_EXPIRED(409, false, "the key is older than records are kept; look the outcome up"),
    KEY_FROM_FUTURE(400, false, "the key's time is in the future; correct the caller's clock"),
    KEY_BEFORE_TAKEOVER(
            409, false, "records from before a take-over are lost; look the outcome up"),
    KEY_IN_PROGRESS(409, true, "a request with this key is running; wait for its outcome"),
    KEY_OUTCOME_UNKNOWN(
            409, false, "an earlier request with this key has no known outcome; look it up"),
    KEY_REUSED(422, false, "the key was used with other content; use a new key"),
    KEY_OWNER_UNAVAILABLE(503, true, "the owner of the key range is unavailable; send again"),
    KEY_RECORDS_FULL(503, true, "the owner of the key range is full; wait and send again"),
    INTERNAL_ERROR(500, false, "an unexpected error ended the request; report the log line"),
    POISON_REQUEST(
            422, false, "targets crashed each time the request ran; change it before sending");

    private final int status;
    private final boolean retryAfter;
    private final String message;

    RefusalReason(int status, boolean retryAfter, String message) {
        this.status = status;
        this.retryAfter = retryAfter;
        this.message = message;
    }

    /**
     * HTTP status that is sent to the caller.
     *
     * @return a status from 400 to 599
     */
    public int status() {
        return status;
    }

    /**
     * Whether the response has a Retry-After header.
     *
     * @return true if sending the same request again can succeed
     */
    public boolean retryAfter() {
        return retryAfter;
    }

    /**
     * Cause of the refusal and its remedy, for the caller.
     *
     * @return one sentence without a period
     */
    public String message() {
        return message;
    }

    /**
     * Name of the reason in headers, response bodies, logs and metrics.
     *
     * @return the constant's name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a reason by its label.
     *
     * @param label for example {@code queue-full}
     * @return the reason, or empty if no reason has that label
     */
    public static java.util.Optional<RefusalReason> parse(String label) {
        for (RefusalReason reason : values()) {
            if (reason.label().equals(label)) {
                return java.util.Optional.of(reason);
            }
        }
        return java.util.Optional.empty();
    }
}
