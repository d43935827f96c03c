package org.azureshed.dispatch;

/** What the host side may do with an offered request. */
public enum OfferMode {
    /** Admit it if a slot is free now. */
    IMMEDIATE,
    /** Queue it if no slot is free. */
    QUEUE,
    /** Queue it, also while the target fails many requests: no better target is left. */
    FORCE
}
