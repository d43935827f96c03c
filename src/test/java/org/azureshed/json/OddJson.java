package org.azureshed.json;

import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Generates JSON texts that other writers may leave: valid ones with a few odd places. */
public final class OddJson {
    /** Values that break parsers, conversions or arithmetic. */
    private static final List<String> ODD_VALUES =
            List.of(
                    "null",
                    "true",
                    "[]",
                    "{}",
                    "\"\"",
                    "\"\\u0000\"",
                    "-1",
                    "0",
                    "1.5",
                    "1e400",
                    "-1e400",
                    "9223372036854775807",
                    "-9223372036854775808",
                    "99999999999999999999",
                    "9".repeat(1_200),
                    "\"127.0.0.1:99999\"",
                    "\"127.0.0.1\"",
                    "\"r99999999999999999999\"",
                    "\"" + "x".repeat(10_000) + "\"",
                    "[".repeat(2_000) + "]".repeat(2_000),
                    "{\"a\":".repeat(1_500) + "1" + "}".repeat(1_500));

    private record Edit(int kind, double position, String odd) {}

    private OddJson() {}

    /**
     * Generates variants of a text.
     *
     * @param valid a valid JSON text
     * @return the text with 0 to 4 odd places; not always valid JSON
     */
    public static Arbitrary<byte[]> variants(String valid) {
        Arbitrary<Edit> edits =
                Combinators.combine(
                                Arbitraries.integers().between(0, 3),
                                Arbitraries.doubles().between(0, 1),
                                Arbitraries.of(ODD_VALUES))
                        .as(Edit::new);
        return edits.list()
                .ofMaxSize(4)
                .map(
                        list -> {
                            String text = valid;
                            for (Edit edit : list) {
                                text = apply(text, edit);
                            }
                            return text.getBytes(StandardCharsets.UTF_8);
                        });
    }

    private static String apply(String text, Edit edit) {
        int at = (int) (edit.position() * text.length());
        return switch (edit.kind()) {
            case 0 -> text.substring(0, at);
            case 1 -> text.substring(0, at) + text.substring(Math.min(text.length(), at + 1));
            case 2 -> text.substring(0, at) + edit.odd() + text.substring(at);
            default -> replaceValue(text, at, edit.odd());
        };
    }

    /** Replaces the value after the next colon. */
    private static String replaceValue(String text, int at, String odd) {
        int colon = text.indexOf(':', at);
        if (colon < 0) {
            return text;
        }
        int end = colon + 1;
        while (end < text.length() && ",}]".indexOf(text.charAt(end)) < 0) {
            end++;
        }
        return text.substring(0, colon + 1) + odd + text.substring(end);
    }
}
