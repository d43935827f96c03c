package org.azureshed.docs;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.azureshed.model.RefusalReason;
import org.azureshed.model.RetryReason;
import org.azureshed.model.UnknownCause;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that the tables of the operator handbook list exactly the reason labels that the code
 * defines.
 */
class OperatorHandbookTest {
    private static final Pattern TABLE_ROW = Pattern.compile("(?m)^\\| `([a-z-]+)` \\|");

    static Stream<Arguments> sections() {
        return Stream.of(
                Arguments.of(
                        "## Reasons of refusals",
                        labels(Stream.of(RefusalReason.values()).map(RefusalReason::label))),
                Arguments.of(
                        "## Causes of unknown outcomes",
                        labels(Stream.of(UnknownCause.values()).map(UnknownCause::label))),
                Arguments.of(
                        "## Reasons of retries",
                        labels(Stream.of(RetryReason.values()).map(RetryReason::label))));
    }

    private static Set<String> labels(Stream<String> labels) {
        return labels.collect(Collectors.toCollection(TreeSet::new));
    }

    @ParameterizedTest
    @MethodSource("sections")
    void explainsExactlyTheReasonsOfTheCode(String heading, Set<String> expectedLabels)
            throws IOException {
        String page = Files.readString(Path.of("docs", "operators.md"));
        String section = page.substring(page.indexOf(heading) + heading.length());
        int end = section.indexOf("\n## ");
        Matcher row = TABLE_ROW.matcher(end < 0 ? section : section.substring(0, end));
        Set<String> documentedLabels = new TreeSet<>();
        while (row.find()) {
            documentedLabels.add(row.group(1));
        }
        assertEquals(expectedLabels, documentedLabels);
    }
}
