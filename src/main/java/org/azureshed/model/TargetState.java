package org.azureshed.model;

/** Lifecycle state that a target announces. */
public enum TargetState {
    /** Cold start: receives no requests yet. */
    STARTING,
    /** Accepts requests. */
    READY,
    /** Finishes its requests and receives no new ones. */
    DRAINING
}
