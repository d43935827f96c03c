package org.azureshed.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Compares the output of a test with a file in src/test/resources/golden. With {@code
 * -Dgolden.update=true}, the output overwrites the file instead.
 */
public final class GoldenFile {
    private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden");

    private GoldenFile() {}

    /** Fails if the text differs from the golden file of that name. */
    public static void check(String name, String actual) throws IOException {
        Path file = DIRECTORY.resolve(name);
        if (Boolean.getBoolean("golden.update")) {
            Files.writeString(file, actual);
            return;
        }
        assertEquals(
                Files.readString(file),
                actual,
                "the output differs from " + file + "; update the file with -Dgolden.update=true");
    }
}
