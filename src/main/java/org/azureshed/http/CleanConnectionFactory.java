package org.azureshed.http;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import org.apache.hc.client5.http.io.ManagedHttpClientConnection;
import org.apache.hc.core5.http.io.HttpConnectionFactory;

/**
 * Creates connections that count as stale if the server sent anything behind its last response, so
 * that it cannot be taken for the next one. The connection manager must validate each connection
 * that it leases.
 *
 * <pre>{@code
 * PoolingHttpClientConnectionManagerBuilder.create()
 *         .setConnectionFactory(new CleanConnectionFactory(Duration.ofSeconds(1)))
 *         .setDefaultConnectionConfig(
 *                 ConnectionConfig.custom()
 *                         .setValidateAfterInactivity(TimeValue.ZERO_MILLISECONDS)
 *                         .build());
 * }</pre>
 */
public final class CleanConnectionFactory
        implements HttpConnectionFactory<ManagedHttpClientConnection> {
    private final Duration checkCloseAfter;

    /**
     * Creates a factory.
     *
     * @param checkCloseAfter idle time after which a lease also checks whether the server has
     *     closed the connection, which takes 1 ms
     */
    public CleanConnectionFactory(Duration checkCloseAfter) {
        this.checkCloseAfter = checkCloseAfter;
    }

    @Override
    public ManagedHttpClientConnection createConnection(Socket socket) throws IOException {
        CleanConnection connection = new CleanConnection(new ResponseParsers(), checkCloseAfter);
        if (socket != null) {
            connection.bind(socket);
        }
        return connection;
    }
}
