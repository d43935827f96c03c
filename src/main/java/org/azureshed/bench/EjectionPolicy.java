package org.azureshed.bench;

/** Who decides which simulated targets receive requests. */
enum EjectionPolicy {
    /** Nobody; the baseline. */
    NONE,
    /** Five consecutive errors eject a target for 30 s, longer each time; a common rule. */
    CONSECUTIVE_ERRORS,
    /** The reducers of {@code org.azureshed.ejection}. */
    AGREED;

    String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
