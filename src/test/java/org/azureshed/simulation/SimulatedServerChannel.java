package org.azureshed.simulation;

import io.netty.channel.AbstractServerChannel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelOption;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.SocketAddress;

/** Stands in for Netty's server channel in the classes of a node. */
public final class SimulatedServerChannel extends AbstractServerChannel {
    private final ChannelConfig config =
            new DefaultChannelConfig(this) {
                @Override
                public <T> boolean setOption(ChannelOption<T> option, T value) {
                    return true;
                }
            };
    private InetSocketAddress bound;
    private boolean open = true;

    /** Creates a channel that is not bound. */
    public SimulatedServerChannel() {}

    @Override
    protected void doBind(SocketAddress address) {
        bound = (InetSocketAddress) address;
        process().listen(bound, this::accept);
    }

    private ConnectionEnd.Listener accept(ConnectionEnd connection) {
        SimulatedSocketChannel child = new SimulatedSocketChannel(this, connection);
        eventLoop()
                .execute(
                        () -> {
                            pipeline().fireChannelRead(child);
                            pipeline().fireChannelReadComplete();
                        });
        return child.events();
    }

    private SimulatedProcess process() {
        return ((SimulatedEventLoop) eventLoop()).process();
    }

    @Override
    protected void doClose() {
        open = false;
        if (bound != null) {
            process().unlisten(bound);
            bound = null;
        }
    }

    @Override
    protected void doBeginRead() {}

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof SimulatedEventLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return bound;
    }

    @Override
    public ChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && bound != null;
    }
}
