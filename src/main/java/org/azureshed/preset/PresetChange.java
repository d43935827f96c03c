package org.azureshed.preset;

/**
 * One change of the presets by an operator.
 *
 * @param number position in the history, from 1
 * @param operationId id that the operator's command chose; unique
 * @param kind what was done
 * @param preset name of the preset
 * @param revision revision of the preset after the change
 * @param activationNumber activation number after the change
 * @param reason the operator's reason
 * @param operator name of the operator
 * @param timeMillis time of the change in milliseconds since the epoch, by the platform's clock
 *     except for the very first change
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
    /** Kinds of changes. */
    public enum Kind {
        /** The content of a preset was replaced. */
        PUT,
        /** A preset was put in force. */
        USE
    }

    /**
     * Names what was done.
     *
     * @return a few words
     */
    public String summary() {
        return kind == Kind.PUT
                ? "put of preset \"" + preset + "\" revision " + revision
                : "use of preset \"" + preset + "\" (activation " + activationNumber + ")";
    }
}
