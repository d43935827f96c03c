package org.azureshed.preset;

/**
 * One validation error of a preset file.
 *
 * @param kind category of the error
 * @param file name of the file
 * @param path JSON path of the invalid value, for example {@code $.routes[3].service}
 * @param detail what is wrong
 * @param remedy how to correct the file
 */
public record PresetProblem(Kind kind, String file, String path, String detail, String remedy) {
    /** Categories of validation errors. */
    public enum Kind {
        /** The file cannot be read. */
        UNREADABLE,
        /** The file is not JSON. */
        MALFORMED_JSON,
        /** The format does not define the field. */
        UNKNOWN_FIELD,
        /** A required field is missing. */
        MISSING_FIELD,
        /** A value has another JSON type than the format requires. */
        WRONG_TYPE,
        /** A required text is blank. */
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
     * Describes the file, the JSON path, the error and the remedy.
     *
     * @return one line
     */
    public String message() {
        return file + ": " + path + ": " + detail + "; " + remedy;
    }
}
