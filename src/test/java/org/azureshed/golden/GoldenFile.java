package org.azureshed.golden;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A recorded session that a test compares with what the program does now. {@code
 * -Dgolden.update=true} replaces the recording instead.
 */
public final class GoldenFile {
    private static final Path DIRECTORY = Path.of("src", "test", "resources", "golden");

    private GoldenFile() {}

    /** Fails if the text differs from the recording of that name. */
    public static void check(String name, String actual) throws IOException {
        Path file = DIRECTORY.resolve(name);
        if (Boolean.getBoolean("golden.update")) {
            Files.writeString(file, actual);
            return;
        }
        assertEquals(
                Files.readString(file),
                actual,
                "the session differs from " + file + "; renew it with -Dgolden.update=true");
    }
}
