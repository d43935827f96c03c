package org.azureshed.simulation;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** A process of a node: its event loop, clock, log and sockets. */
final class SimulatedProcess {
    private static final ThreadLocal<SimulatedProcess> CURRENT = new ThreadLocal<>();

    private final String ip;
    private final VirtualTime time;
    private final SimulatedNetwork network;
    private final SimulatedEventLoop loop;
    private final List<String> log = new ArrayList<>();
    private final List<InetSocketAddress> listeners = new ArrayList<>();
    private final Runnable onExit;
    private long clockOffsetMillis;
    private boolean frozen;
    private boolean ended;

    /**
     * Creates a process.
     *
     * @param onExit runs when the process ends by itself
     */
    SimulatedProcess(String ip, VirtualTime time, SimulatedNetwork network, Runnable onExit) {
        this.ip = ip;
        this.time = time;
        this.network = network;
        this.onExit = onExit;
        this.loop = new SimulatedEventLoop(this);
    }

    /** The process whose code runs on this thread; null if none does. */
    static SimulatedProcess current() {
        return CURRENT.get();
    }

    /** Runs code of the process. */
    void run(Runnable code) {
        SimulatedProcess outer = CURRENT.get();
        CURRENT.set(this);
        try {
            code.run();
        } finally {
            CURRENT.set(outer);
        }
    }

    String ip() {
        return ip;
    }

    VirtualTime time() {
        return time;
    }

    SimulatedEventLoop loop() {
        return loop;
    }

    List<String> log() {
        return log;
    }

    long unixMillis() {
        return SimulatedSystem.START_MILLIS + time.millis() + clockOffsetMillis;
    }

    void stepClock(long millis) {
        clockOffsetMillis += millis;
    }

    boolean ended() {
        return ended;
    }

    boolean frozen() {
        return frozen;
    }

    /** Stops or continues the process; its sockets stay open, and the kernel takes what comes. */
    void freeze(boolean on) {
        frozen = on;
        if (!on) {
            loop.wake();
        }
    }

    /** Ends the process at once; the kernel closes its sockets. */
    void kill() {
        if (!ended) {
            ended = true;
            loop.end();
            listeners.forEach(network::unbind);
            network.closeConnectionsOf(this);
        }
    }

    /** Ends the process at a latch's release or after a time, whichever is first. */
    void exitAfter(SimulatedLatch latch, long timeoutMillis) {
        Runnable exit =
                () -> {
                    if (!ended) {
                        kill();
                        onExit.run();
                    }
                };
        latch.onRelease(() -> time.at(time.nanos(), exit));
        time.afterMillis(timeoutMillis, exit);
    }

    void listen(InetSocketAddress address, SimulatedNetwork.Acceptor acceptor) {
        network.bind(address, acceptor);
        listeners.add(address);
    }

    void unlisten(InetSocketAddress address) {
        network.unbind(address);
        listeners.remove(address);
    }

    ConnectionEnd connect(InetSocketAddress address, ConnectionEnd.Listener listener) {
        return network.connect(ip, this, address, listener);
    }
}
