package org.azureshed.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a node that misses a settings change because no signal was sent. */
class SettingsFileTest {
    @TempDir private Path directory;

    @Test
    void changedFileIsDetectedOnce() throws Exception {
        Path path = directory.resolve("settings.json");
        Files.writeString(path, SettingsDecoderTest.VALID);
        SettingsFile file = new SettingsFile(path, Map.of());
        assertEquals("s", file.read().service());
        assertFalse(file.changed());
        Files.writeString(path, SettingsDecoderTest.VALID.replace("\"s\"", "\"t\""));
        Files.setLastModifiedTime(path, FileTime.fromMillis(1_000));
        assertTrue(file.changed());
        assertEquals("t", file.read().service());
        assertFalse(file.changed());
    }

    /** Guards against a half-written file that is reported at every check until it changes. */
    @Test
    void malformedFileIsReportedOnce() throws Exception {
        Path path = Files.writeString(directory.resolve("settings.json"), "{}");
        SettingsFile file = new SettingsFile(path, Map.of());
        assertThrows(IllegalArgumentException.class, file::read);
        assertFalse(file.changed());
    }
}
