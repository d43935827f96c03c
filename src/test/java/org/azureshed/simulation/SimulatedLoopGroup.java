package org.azureshed.simulation;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;

/** Stands in for Netty's event loop group in the classes of a node: the loop of its process. */
public final class SimulatedLoopGroup {
    private final IoEventLoop loop = SimulatedProcess.current().loop();

    /** Creates the group of the current process; the arguments are not used. */
    public SimulatedLoopGroup(int threads, IoHandlerFactory handlers) {}

    /** The loop of the process. */
    public IoEventLoop next() {
        return loop;
    }
}
