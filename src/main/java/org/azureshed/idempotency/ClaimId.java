package org.azureshed.idempotency;

/**
 * Identifies one claim. An entry side uses each id for one claim and one forwarded request, so that
 * a late report about one claim cannot release a later one.
 *
 * @param entry process at which the request came in
 * @param number unique within that process
 */
public record ClaimId(NodeInstance entry, long number) {}
