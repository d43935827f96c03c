package org.azureshed.proxy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Finds connections that the peer has closed, from the kernel's connection tables.
 *
 * <p>On systems without these tables a closed connection is noticed when the answer is written.
 */
final class ClosedPeers {
    private static final List<Path> TABLES =
            List.of(Path.of("/proc/net/tcp"), Path.of("/proc/net/tcp6"));
    private static final String CLOSE_WAIT = "08";
    private static final int LOCAL_COLUMN = 1;
    private static final int REMOTE_COLUMN = 2;
    private static final int STATE_COLUMN = 3;
    private static final int HEXADECIMAL = 16;

    /**
     * Reads the connections in state CLOSE_WAIT.
     *
     * @return their ports; empty if the tables cannot be read
     */
    Set<InFlight.TcpPorts> read() {
        Set<InFlight.TcpPorts> closed = new HashSet<>();
        for (Path table : TABLES) {
            try (Stream<String> lines = Files.lines(table)) {
                lines.skip(1).forEach(line -> addIfClosed(line.trim().split("\\s+"), closed));
            } catch (IOException | RuntimeException ignored) {
                // The table does not exist on this system.
            }
        }
        return closed;
    }

    private static void addIfClosed(String[] columns, Set<InFlight.TcpPorts> closed) {
        if (columns[STATE_COLUMN].equals(CLOSE_WAIT)) {
            closed.add(
                    new InFlight.TcpPorts(
                            port(columns[LOCAL_COLUMN]), port(columns[REMOTE_COLUMN])));
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1), HEXADECIMAL);
    }
}
