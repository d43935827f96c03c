package org.azureshed.proxy;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Lists connections that are open at both ends, from the kernel's TCP connection tables.
 *
 * <p>A connection that the peer has closed is in state CLOSE_WAIT, and one that it has reset is not
 * listed. On systems without these tables a closed connection is detected only when the answer is
 * written.
 */
final class OpenConnections {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final String ESTABLISHED = "01";
    private static final int LOCAL_COLUMN = 1;
    private static final int REMOTE_COLUMN = 2;
    private static final int STATE_COLUMN = 3;
    private static final int HEXADECIMAL = 16;

    /**
     * Reads the connections in state ESTABLISHED.
     *
     * @return their ports, or empty if a table cannot be read
     */
    Optional<Set<InFlight.TcpPorts>> read() {
        Set<InFlight.TcpPorts> open = new HashSet<>();
        for (Path table : TABLES) {
            // Files.lines relies on the file size, which the kernel reports as 0 for these tables.
            try (BufferedReader lines = Files.newBufferedReader(table)) {
                lines.lines().skip(1).forEach(line -> addIfOpen(line.trim().split("\\s+"), open));
            } catch (IOException | RuntimeException e) {
                return Optional.empty();
            }
        }
        return Optional.of(open);
    }

    private static void addIfOpen(String[] columns, Set<InFlight.TcpPorts> open) {
        if (columns[STATE_COLUMN].equals(ESTABLISHED)) {
            open.add(
                    new InFlight.TcpPorts(
                            port(columns[LOCAL_COLUMN]), port(columns[REMOTE_COLUMN])));
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1), HEXADECIMAL);
    }
}
