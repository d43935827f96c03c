package org.azureshed.platform;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Map;
import org.azureshed.sidecar.SidecarSettings;

/**
 * Reads the settings file of this process and detects when the platform replaces it. Thread-safe.
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
    private FileTime modifiedTimeAtRead = FileTime.fromMillis(0);
    private long sizeAtRead = -1;

    SettingsFile(Path path, Map<String, String> environment) {
        this.path = path;
        this.environment = Map.copyOf(environment);
    }

    /**
     * Reads the settings and remembers the file's modification time and size.
     *
     * @throws IOException if the file cannot be read
     * @throws IllegalArgumentException if a field is missing or malformed; the message names it
     */
    synchronized SidecarSettings read() throws IOException {
        // Taken before reading: a change during the read is then detected by the next check.
        modifiedTimeAtRead = Files.getLastModifiedTime(path);
        sizeAtRead = Files.size(path);
        return SettingsDecoder.read(path, environment);
    }

    /**
     * Returns whether the modification time or size differs from that at the last read.
     *
     * @throws IOException if the file's attributes cannot be read
     */
    synchronized boolean changed() throws IOException {
        return !Files.getLastModifiedTime(path).equals(modifiedTimeAtRead)
                || Files.size(path) != sizeAtRead;
    }
}
