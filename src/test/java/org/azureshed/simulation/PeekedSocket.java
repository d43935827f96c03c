package org.azureshed.simulation;

import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketOption;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.util.Set;

/** Reads a single byte of a simulated connection ahead of its event loop. */
final class PeekedSocket extends SocketChannel {
    private final ConnectionEnd connection;

    PeekedSocket(ConnectionEnd connection) {
        super(SelectorProvider.provider());
        this.connection = connection;
    }

    /** Returns 1 if there was a byte, -1 at the end of the connection, otherwise 0. */
    @Override
    public int read(ByteBuffer target) {
        if (connection.readByte()) {
            return 1;
        }
        return connection.isAtEnd() ? -1 : 0;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) {
        throw unsupported();
    }

    @Override
    public int write(ByteBuffer source) {
        throw unsupported();
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) {
        throw unsupported();
    }

    @Override
    public SocketChannel bind(SocketAddress address) {
        throw unsupported();
    }

    @Override
    public <T> SocketChannel setOption(SocketOption<T> name, T value) {
        throw unsupported();
    }

    @Override
    public <T> T getOption(SocketOption<T> name) {
        throw unsupported();
    }

    @Override
    public Set<SocketOption<?>> supportedOptions() {
        return Set.of();
    }

    @Override
    public SocketChannel shutdownInput() {
        throw unsupported();
    }

    @Override
    public SocketChannel shutdownOutput() {
        throw unsupported();
    }

    @Override
    public Socket socket() {
        throw unsupported();
    }

    @Override
    public boolean isConnected() {
        return connection.isEstablished();
    }

    @Override
    public boolean isConnectionPending() {
        return false;
    }

    @Override
    public boolean connect(SocketAddress remote) {
        throw unsupported();
    }

    @Override
    public boolean finishConnect() {
        return true;
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return null;
    }

    @Override
    public SocketAddress getLocalAddress() {
        return null;
    }

    @Override
    protected void implCloseSelectableChannel() {}

    @Override
    protected void implConfigureBlocking(boolean block) {}

    private static UnsupportedOperationException unsupported() {
        return new UnsupportedOperationException("only single bytes are read");
    }
}
