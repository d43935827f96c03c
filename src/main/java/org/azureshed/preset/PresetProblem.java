package org.azureshed.preset;

/**
 * One fault of a preset file.
 *
 * @param kind what sort of fault
 * @param file name of the file
 * @param path JSON path of the faulty value, for example {@code $.routes[3].service}
 * @param detail what is wrong
 * @param remedy what to do about it
 */
public record PresetProblem(Kind kind, String file, String path, String detail, String remedy) {
    /** Sorts of faults. */
    public enum Kind {
        /** The file cannot be read. */
        UNREADABLE,
        /** The file is not JSON. */
        MALFORMED_JSON,
        /** The format does not have the field. */
        UNKNOWN_FIELD,
        /** A required field is missing. */
        MISSING_FIELD,
        /** A value has another JSON type than the format asks for. */
        WRONG_TYPE,
        /** A text that must be written down is empty. */
        EMPTY_TEXT,
        /** A text does not have the required form. */
        MALFORMED_TEXT,
        /** A number is outside its range. */
        OUT_OF_RANGE,
        /** A name is used twice, or two routes match the same requests. */
        DUPLICATE,
        /** A route names a service or class that is not defined. */
        MISSING_REFERENCE
    }

    /**
     * Names the file, the place, the fault and the remedy.
     *
     * @return one line
     */
    public String message() {
        return file + ": " + path + ": " + detail + "; " + remedy;
    }
}
