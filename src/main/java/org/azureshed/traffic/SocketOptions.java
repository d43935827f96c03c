package org.azureshed.traffic;

import com.google.common.net.InetAddresses;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioChannelOption;
import java.net.InetSocketAddress;
import jdk.net.ExtendedSocketOptions;
import org.azureshed.model.Endpoint;

/** Options of all sockets. TCP keep-alive probes detect connections whose peer is gone. */
final class SocketOptions {
    /** Seconds without data before the first keep-alive probe. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 2;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    /** Covers a burst of callers that reconnect at the same time. */
    private static final int BACKLOG = 1024;

    private SocketOptions() {}

    /** Converts an endpoint whose host is an IP address; never resolves a name. */
    static InetSocketAddress address(Endpoint endpoint) {
        return new InetSocketAddress(InetAddresses.forUriString(endpoint.host()), endpoint.port());
    }

    static ServerBootstrap server(ServerBootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                        KEEP_ALIVE_IDLE_SECONDS)
                .childOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        KEEP_ALIVE_INTERVAL_SECONDS)
                .childOption(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                        KEEP_ALIVE_PROBES);
    }

    static Bootstrap client(Bootstrap bootstrap) {
        return bootstrap
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE),
                        KEEP_ALIVE_IDLE_SECONDS)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL),
                        KEEP_ALIVE_INTERVAL_SECONDS)
                .option(
                        NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT),
                        KEEP_ALIVE_PROBES);
    }
}
