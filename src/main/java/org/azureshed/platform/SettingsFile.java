package org.azureshed.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import org.azureshed.sidecar.SidecarSettings;

/**
 * The settings file of this process, which the platform may replace at any time. Thread-safe.
 *
 * <pre>{@code
 * if (file.changed()) {
 *     node.reload(file.read());
 * }
 * }</pre>
 */
final class SettingsFile {
    private final Path path;
    private final Map<String, String> environment;
    private FileTime readTime = FileTime.fromMillis(0);
    private long readSize = -1;

    SettingsFile(Path path, Map<String, String> environment) {
        this.path = path;
        this.environment = Map.copyOf(environment);
    }

    /**
     * Reads the settings.
     *
     * @throws IOException if the file cannot be read
     * @throws IllegalArgumentException if a field is missing or malformed; the message names it
     */
    synchronized SidecarSettings read() throws IOException {
        // Noted before reading, so that a change in between is found by the next check.
        readTime = Files.getLastModifiedTime(path);
        readSize = Files.size(path);
        return SettingsDecoder.read(path, environment);
    }

    /**
     * Whether the file differs from the one that was read last, by its time or size.
     *
     * @throws IOException if the file cannot be looked at
     */
    synchronized boolean changed() throws IOException {
        return !Files.getLastModifiedTime(path).equals(readTime) || Files.size(path) != readSize;
    }
}
