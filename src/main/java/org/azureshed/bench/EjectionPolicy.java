package org.azureshed.bench;

/** Rule that decides which simulated targets are ejected. */
enum EjectionPolicy {
    /** No target is ejected; the baseline. */
    NONE,
    /** Five consecutive errors eject a target for 30 s, longer each time; a common rule. */
    CONSECUTIVE_ERRORS,
    /** The nodes agree on ejections with {@link org.azureshed.ejection.EjectionReducer}. */
    AGREED;

    /** The name in printed lines. */
    String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
