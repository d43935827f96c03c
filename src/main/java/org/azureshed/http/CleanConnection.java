package org.azureshed.http;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.Socket;
import java.time.Duration;
import org.apache.hc.client5.http.io.ManagedHttpClientConnection;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.SocketHolder;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/** Connection that is stale if bytes of the server are left on it. */
final class CleanConnection extends DefaultBHttpClientConnection
        implements ManagedHttpClientConnection {
    private final ResponseParsers parsers;
    private final long checkCloseNanos;
    private volatile boolean closed;
    private volatile long idleSinceNanos = System.nanoTime();
    private volatile Timeout socketTimeout;

    CleanConnection(ResponseParsers parsers, Duration checkCloseAfter) {
        super(Http1Config.DEFAULT, null, null, null, null, null, parsers);
        this.parsers = parsers;
        this.checkCloseNanos = checkCloseAfter.toNanos();
    }

    @Override
    public boolean isStale() throws IOException {
        if (!isOpen() || parsers.bytesLeft()) {
            return true;
        }
        Socket socket = getSocket();
        if (socket == null || socket.getInputStream().available() > 0) {
            return true;
        }
        boolean wasIdle = System.nanoTime() - idleSinceNanos >= checkCloseNanos;
        return wasIdle && (super.isStale() || parsers.bytesLeft());
    }

    @Override
    public void bind(Socket socket) throws IOException {
        super.bind(closed ? refused(socket) : socket);
        socketTimeout = Timeout.ofMilliseconds(socket.getSoTimeout());
    }

    private static Socket refused(Socket socket) throws IOException {
        socket.close();
        throw new InterruptedIOException("connection was closed before it was established");
    }

    @Override
    public Socket getSocket() {
        SocketHolder holder = getSocketHolder();
        return holder == null ? null : holder.getSocket();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        super.close();
    }

    @Override
    public void close(CloseMode mode) {
        closed = true;
        super.close(mode);
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        socketTimeout = timeout;
        super.setSocketTimeout(timeout);
    }

    @Override
    public void passivate() {
        idleSinceNanos = System.nanoTime();
        super.setSocketTimeout(Timeout.DISABLED);
    }

    @Override
    public void activate() {
        super.setSocketTimeout(socketTimeout);
    }
}
