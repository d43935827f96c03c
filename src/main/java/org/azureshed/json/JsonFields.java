package org.azureshed.json;

import com.fasterxml.jackson.databind.JsonNode;
import java.math.BigDecimal;

/**
 * Reads fields of JSON objects that others wrote. Each method throws {@link
 * IllegalArgumentException} with the name of the field if its value is missing, of another type or
 * out of range.
 */
public final class JsonFields {
    /** Longest text of a name or identifier, in characters. */
    private static final int MAX_TEXT_LENGTH = 256;

    private JsonFields() {}

    /**
     * Reads a text.
     *
     * @param json the object
     * @param field name of the field
     * @return the text, 1 to 256 characters without control characters
     * @throws IllegalArgumentException if the field has no such text
     */
    public static String text(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException(field + " is not a string");
        }
        String text = value.textValue();
        if (text.isEmpty() || text.length() > MAX_TEXT_LENGTH) {
            throw new IllegalArgumentException(
                    field + " must have 1 to " + MAX_TEXT_LENGTH + " characters");
        }
        if (text.chars().anyMatch(Character::isISOControl)) {
            throw new IllegalArgumentException(field + " contains control characters");
        }
        return text;
    }

    /**
     * Reads a whole number. Accepts a fraction of zero, as in {@code 5.0} or {@code 1e3}, since
     * some writers format all numbers as floating-point numbers.
     *
     * @param json the object
     * @param field name of the field
     * @param min smallest value allowed
     * @param max largest value allowed
     * @return the number
     * @throws IllegalArgumentException if the field has no whole number in the range
     */
    public static long wholeNumber(JsonNode json, String field, long min, long max) {
        JsonNode value = json.path(field);
        if (!value.isNumber() || !isWhole(value)) {
            throw new IllegalArgumentException(field + " is not a whole number");
        }
        long number = value.longValue();
        if (number < min || number > max) {
            throw new IllegalArgumentException(
                    field + " must be from " + min + " to " + max + ", not " + number);
        }
        return number;
    }

    private static boolean isWhole(JsonNode value) {
        if (!value.canConvertToLong()) {
            return false;
        }
        if (value.isIntegralNumber()) {
            return true;
        }
        double number = value.doubleValue();
        return number == Math.rint(number) && !(value.isBigDecimal() && hasFraction(value));
    }

    private static boolean hasFraction(JsonNode value) {
        BigDecimal number = value.decimalValue();
        return number.stripTrailingZeros().scale() > 0;
    }
}
