package org.azureshed.simulation;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DefaultSocketChannelConfig;
import io.netty.channel.socket.ServerSocketChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.SocketChannelConfig;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;

/**
 * Stands in for Netty's socket channel in the classes of a node. Reads, writes and closes as that
 * one does: a reset that is read is an exception, one that a write meets fails the write.
 */
public class SimulatedSocketChannel extends AbstractChannel implements SocketChannel {
    private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);
    private static final int MAX_READS = 16;

    private final Config config = new Config(this);
    private final ConnectionEnd.Listener events =
            new ConnectionEnd.Listener() {
                @Override
                public void connected() {
                    execute(SimulatedSocketChannel.this::connected);
                }

                @Override
                public void refused() {
                    execute(() -> connectFailed(new ConnectException("refused")));
                }

                @Override
                public void readable() {
                    execute(SimulatedSocketChannel.this::readNow);
                }

                @Override
                public void writable() {
                    execute(SimulatedSocketChannel.this::flushMore);
                }
            };
    private ConnectionEnd connection;
    private InetSocketAddress remote;
    private ChannelPromise connecting;
    private ScheduledFuture<?> connectTimeout;
    private boolean open = true;
    private boolean readPending;

    /** Creates a channel that is not connected. */
    public SimulatedSocketChannel() {
        super(null);
    }

    SimulatedSocketChannel(Channel parent, ConnectionEnd connection) {
        super(parent);
        this.connection = connection;
        this.remote = InetSocketAddress.createUnresolved(connection.remoteIp(), 0);
    }

    /**
     * Runs an event; one that comes before the loop has taken the channel is found by the first
     * read.
     */
    private void execute(Runnable event) {
        if (isRegistered()) {
            eventLoop().execute(event);
        }
    }

    /** Listener of the events of an accepted connection. */
    ConnectionEnd.Listener events() {
        return events;
    }

    /** The socket behind the channel, of which only single bytes can be read. */
    protected java.nio.channels.SocketChannel javaChannel() {
        return new PeekedSocket(connection);
    }

    private void connected() {
        if (connecting != null && connecting.trySuccess()) {
            connecting = null;
            connectTimeout.cancel(false);
            pipeline().fireChannelActive();
        }
    }

    private void connectFailed(IOException cause) {
        if (connecting != null && connecting.tryFailure(cause)) {
            connecting = null;
            connectTimeout.cancel(false);
            unsafe().close(voidPromise());
        }
    }

    private void readNow() {
        if (!open || !readPending || connecting != null) {
            return;
        }
        readPending = false;
        boolean any = false;
        byte[] bytes = null;
        for (int reads = 0; reads < MAX_READS && open; reads++) {
            bytes = connection.read();
            if (bytes == null) {
                break;
            }
            any = true;
            pipeline().fireChannelRead(Unpooled.wrappedBuffer(bytes));
            if (!config.isAutoRead()) {
                break;
            }
        }
        boolean atEnd = open && bytes == null && connection.isAtEnd();
        if (any) {
            pipeline().fireChannelReadComplete();
        }
        if (atEnd && open) {
            if (connection.isReset()) {
                pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
            }
            unsafe().close(voidPromise());
        } else if (!any && open) {
            // Nothing has arrived: the channel stays interested.
            readPending = true;
        }
    }

    private void flushMore() {
        if (open && isActive() && unsafe().outboundBuffer() != null) {
            unsafe().flush();
        }
    }

    @Override
    protected void doBeginRead() {
        if (!readPending) {
            readPending = true;
            eventLoop().execute(this::readNow);
        }
    }

    @Override
    protected void doWrite(ChannelOutboundBuffer buffer) throws Exception {
        for (Object next = buffer.current(); next != null; next = buffer.current()) {
            ByteBuf data = (ByteBuf) next;
            if (!data.isReadable()) {
                buffer.remove();
                continue;
            }
            if (connection.isReset()) {
                throw new IOException("Connection reset by peer");
            }
            int length = Math.min(connection.room(), data.readableBytes());
            if (length <= 0) {
                return;
            }
            connection.write(ByteBufUtil.getBytes(data, data.readerIndex(), length, true));
            buffer.removeBytes(length);
        }
    }

    @Override
    protected void doClose() {
        open = false;
        if (connecting != null) {
            connecting.tryFailure(new ClosedChannelException());
            connecting = null;
            connectTimeout.cancel(false);
        }
        if (connection != null) {
            connection.close();
        }
    }

    @Override
    protected void doBind(SocketAddress address) {
        throw new UnsupportedOperationException("clients are not bound");
    }

    @Override
    protected void doDisconnect() {
        doClose();
    }

    @Override
    protected AbstractUnsafe newUnsafe() {
        return new AbstractUnsafe() {
            @Override
            public void connect(SocketAddress to, SocketAddress from, ChannelPromise promise) {
                if (!promise.setUncancellable() || !ensureOpen(promise)) {
                    return;
                }
                remote = (InetSocketAddress) to;
                connecting = promise;
                SimulatedProcess process = ((SimulatedEventLoop) eventLoop()).process();
                connection = process.connect(remote, events);
                connectTimeout =
                        eventLoop()
                                .schedule(
                                        () -> connectFailed(new ConnectTimeoutException()),
                                        config.getConnectTimeoutMillis(),
                                        TimeUnit.MILLISECONDS);
            }
        };
    }

    @Override
    protected boolean isCompatible(EventLoop loop) {
        return loop instanceof SimulatedEventLoop;
    }

    @Override
    protected SocketAddress localAddress0() {
        return connection == null
                ? null
                : InetSocketAddress.createUnresolved(connection.localIp(), 0);
    }

    @Override
    protected SocketAddress remoteAddress0() {
        return remote;
    }

    @Override
    public SocketChannelConfig config() {
        return config;
    }

    @Override
    public boolean isOpen() {
        return open;
    }

    @Override
    public boolean isActive() {
        return open && connection != null && connection.isEstablished() && connecting == null;
    }

    @Override
    public ChannelMetadata metadata() {
        return METADATA;
    }

    @Override
    public ServerSocketChannel parent() {
        return null;
    }

    @Override
    public InetSocketAddress localAddress() {
        return (InetSocketAddress) super.localAddress();
    }

    @Override
    public InetSocketAddress remoteAddress() {
        return (InetSocketAddress) super.remoteAddress();
    }

    @Override
    public boolean isInputShutdown() {
        return false;
    }

    @Override
    public ChannelFuture shutdownInput() {
        return shutdownInput(newPromise());
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
        throw new UnsupportedOperationException("the input of a connection is not closed alone");
    }

    @Override
    public boolean isOutputShutdown() {
        return !open;
    }

    @Override
    public ChannelFuture shutdownOutput() {
        return shutdownOutput(newPromise());
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
        connection.finishOutput();
        return promise.setSuccess();
    }

    @Override
    public boolean isShutdown() {
        return !open;
    }

    @Override
    public ChannelFuture shutdown() {
        return shutdown(newPromise());
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
        return shutdownOutput(promise);
    }

    /** Takes options of real sockets without effect. */
    private static final class Config extends DefaultSocketChannelConfig {
        Config(SocketChannel channel) {
            super(channel, new Socket());
            setAllocator(new UnpooledByteBufAllocator(false, true));
        }

        @Override
        public SocketChannelConfig setTcpNoDelay(boolean on) {
            return this;
        }

        @Override
        public <T> boolean setOption(ChannelOption<T> option, T value) {
            return option != ChannelOption.CONNECT_TIMEOUT_MILLIS
                            && option != ChannelOption.AUTO_READ
                    || super.setOption(option, value);
        }
    }
}
