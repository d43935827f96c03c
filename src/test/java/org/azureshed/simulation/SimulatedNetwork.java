package org.azureshed.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Network with the guarantees of TCP: bytes of one direction arrive in order or not at all. What is
 * sent on a blocked path waits until the path is open again.
 */
final class SimulatedNetwork {
    private static final long LATENCY_NANOS = TimeUnit.MICROSECONDS.toNanos(200);

    /** Receives the connections to a listening address. */
    interface Acceptor {
        /** Takes a new connection; the listener that it returns gets its events. */
        ConnectionEnd.Listener accept(ConnectionEnd connection);
    }

    private record Path(String from, String to) {}

    private final VirtualTime time;
    private final Map<InetSocketAddress, Acceptor> acceptors = new HashMap<>();
    private final Map<InetSocketAddress, SimulatedProcess> owners = new HashMap<>();
    private final Map<Path, Long> extraLatencyNanos = new HashMap<>();
    private final Set<Path> blocked = new HashSet<>();
    private final List<ConnectionEnd> ends = new ArrayList<>();

    SimulatedNetwork(VirtualTime time) {
        this.time = time;
    }

    VirtualTime time() {
        return time;
    }

    void bind(InetSocketAddress address, Acceptor acceptor) {
        if (acceptors.putIfAbsent(address, acceptor) != null) {
            throw new IllegalStateException("address in use: " + address);
        }
        if (SimulatedProcess.current() != null) {
            owners.put(address, SimulatedProcess.current());
        }
    }

    void unbind(InetSocketAddress address) {
        acceptors.remove(address);
        owners.remove(address);
    }

    /**
     * Opens a connection.
     *
     * @param process process that owns it; null for the other parties
     */
    ConnectionEnd connect(
            String fromIp,
            SimulatedProcess process,
            InetSocketAddress to,
            ConnectionEnd.Listener listener) {
        String toIp = to.getAddress().getHostAddress();
        ConnectionEnd client = new ConnectionEnd(this, fromIp, toIp, process);
        client.listener(listener);
        ends.add(client);
        client.send(() -> accept(client, to));
        return client;
    }

    private void accept(ConnectionEnd client, InetSocketAddress to) {
        Acceptor acceptor = acceptors.get(to);
        ConnectionEnd server =
                new ConnectionEnd(this, client.remoteIp(), client.localIp(), owners.get(to));
        server.peer(client);
        client.peer(server);
        if (acceptor == null) {
            server.close();
            server.send(client::refused);
            return;
        }
        ends.add(server);
        server.established();
        server.send(client::established);
        server.listener(acceptor.accept(server));
    }

    void forget(ConnectionEnd end) {
        ends.remove(end);
    }

    void closeConnectionsOf(SimulatedProcess process) {
        for (ConnectionEnd end : List.copyOf(ends)) {
            if (end.process() == process) {
                end.close();
            }
        }
    }

    /** Resets the open connections between two addresses at both ends. */
    void reset(String first, String second) {
        for (ConnectionEnd end : List.copyOf(ends)) {
            if (end.localIp().equals(first) && end.remoteIp().equals(second)) {
                end.abort();
            }
        }
    }

    /** Blocks or opens a path in one direction. */
    void block(String from, String to, boolean on) {
        Path path = new Path(from, to);
        if (on) {
            blocked.add(path);
        } else if (blocked.remove(path)) {
            List.copyOf(ends).forEach(ConnectionEnd::pump);
        }
    }

    void delay(String from, String to, long millis) {
        extraLatencyNanos.put(new Path(from, to), TimeUnit.MILLISECONDS.toNanos(millis));
    }

    boolean isBlocked(String from, String to) {
        return blocked.contains(new Path(from, to));
    }

    long latencyNanos(String from, String to) {
        return LATENCY_NANOS + extraLatencyNanos.getOrDefault(new Path(from, to), 0L);
    }
}
