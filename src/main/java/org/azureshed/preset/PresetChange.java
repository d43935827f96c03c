package org.azureshed.preset;

/**
 * A completed change of a preset, or of the preset in force, as recorded in the history.
 *
 * @param number position in the history, from 1
 * @param operationId unique id that the operator's command generated; {@code write-back-} and the
 *     activation number if a node wrote the preset back to the platform
 * @param kind whether content was stored or a preset was put in force
 * @param preset name of the preset
 * @param revision revision of the preset after the change
 * @param activationNumber activation number after the change
 * @param reason the operator's reason
 * @param operator name of the operator
 * @param timeMillis time of the change in milliseconds since the epoch, by the platform's clock;
 *     the first change uses the clock of the operator's machine
 */
public record PresetChange(
        long number,
        String operationId,
        Kind kind,
        String preset,
        long revision,
        long activationNumber,
        String reason,
        String operator,
        long timeMillis) {
    private static final String WRITE_BACK_PREFIX = "write-back-";

    /** Kinds of changes. */
    public enum Kind {
        /** A preset was stored, as a new one or in place of its earlier content. */
        PUT,
        /** A preset was put in force. */
        USE
    }

    /**
     * Returns the operation id of a node that writes an activation back to a restored platform.
     *
     * @param activationNumber activation that the fleet knows
     * @return the id
     */
    public static String writeBackId(long activationNumber) {
        return WRITE_BACK_PREFIX + activationNumber;
    }

    /**
     * Whether a node wrote the change back to a restored platform. It repeats an earlier decision
     * of an operator and is no new one.
     *
     * @return false if an operator made the change
     */
    public boolean writtenBack() {
        return operationId.startsWith(WRITE_BACK_PREFIX);
    }

    /**
     * Describes the change in a phrase.
     *
     * @return the kind of change, the preset and its revision or activation number
     */
    public String summary() {
        return kind == Kind.PUT
                ? "put of preset \"" + preset + "\" revision " + revision
                : "use of preset \"" + preset + "\" (activation " + activationNumber + ")";
    }
}
