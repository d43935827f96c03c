package org.azureshed.sidecar;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reads how many file descriptors this process may open. */
final class DescriptorLimit {
    /** Limit of the JVM's default on Linux; applies where the system tells none. */
    private static final long DEFAULT = 4_096;

    private static final String PREFIX = "Max open files";

    private DescriptorLimit() {}

    static long ofThisProcess() {
        try {
            return parse(Files.readAllLines(Path.of("/proc/self/limits")));
        } catch (IOException e) {
            return DEFAULT;
        }
    }

    /** Returns the soft limit in the lines of a limits file. */
    static long parse(List<String> lines) {
        return lines.stream()
                .filter(line -> line.startsWith(PREFIX))
                .map(line -> line.substring(PREFIX.length()).trim().split("\\s+")[0])
                .mapToLong(DescriptorLimit::number)
                .findFirst()
                .orElse(DEFAULT);
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return text.equals("unlimited") ? Long.MAX_VALUE : DEFAULT;
        }
    }
}
