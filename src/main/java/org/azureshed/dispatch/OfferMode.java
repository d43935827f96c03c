package org.azureshed.dispatch;

/** What the host side may do with an offered request. */
public enum OfferMode {
    /** Admit the request if a slot is free now, otherwise refuse it. */
    IMMEDIATE,
    /** Queue the request if no slot is free. */
    QUEUE,
    /** As {@link #QUEUE}, but also at a suspect target, since no better target is left. */
    FORCE
}
