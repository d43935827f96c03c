package org.azureshed.traffic;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.util.function.Supplier;
import org.azureshed.model.Endpoint;

/** Opens the listeners of a node. */
public final class TrafficServers {
    /** Targets and nodes send few and short headers. */
    private static final int MAX_CONTROL_HEAD_BYTES = 32 << 10;

    private TrafficServers() {}

    /**
     * Listens for callers.
     *
     * @param loop event loop of the connections
     * @param address endpoint to listen on, with an IP address
     * @param service the entry side
     * @return the bound server channel
     */
    public static Channel entry(EventLoop loop, Endpoint address, EntryService service) {
        return listen(
                loop,
                address,
                () -> new RequestDecoder(service::maxHeadBytes, service.names().requestId()),
                () -> new EntryHandler(service));
    }

    /**
     * Listens for offers of requests from entry sides.
     *
     * @param loop event loop of the connections
     * @param address endpoint to listen on, with an IP address
     * @param service the host side
     * @return the bound server channel
     */
    public static Channel host(EventLoop loop, Endpoint address, HostService service) {
        return listen(
                loop,
                address,
                // The entry side has applied the limit in force.
                () -> new RequestDecoder(() -> RequestDecoder.MAX_HEAD_BYTES, ""),
                () -> new HostHandler(service));
    }

    /**
     * Listens for control requests: health checks, heartbeats and messages of other nodes.
     *
     * @param loop event loop of the connections
     * @param address endpoint to listen on, with an IP address
     * @param endpoint handles the requests
     * @param events receives exceptions of the endpoint
     * @return the bound server channel
     */
    public static Channel control(
            EventLoop loop, Endpoint address, ControlEndpoint endpoint, TrafficEvents events) {
        return listen(
                loop,
                address,
                () -> new RequestDecoder(() -> MAX_CONTROL_HEAD_BYTES, ""),
                () -> new ControlHandler(endpoint, events));
    }

    private static Channel listen(
            EventLoop loop,
            Endpoint address,
            Supplier<RequestDecoder> decoder,
            Supplier<ChannelHandler> handler) {
        return SocketOptions.server(
                        new ServerBootstrap()
                                .group(loop)
                                .channel(NioServerSocketChannel.class)
                                .childHandler(new Initializer(decoder, handler)))
                .bind(SocketOptions.address(address))
                .syncUninterruptibly()
                .channel();
    }

    private static final class Initializer extends ChannelInitializer<SocketChannel> {
        private final Supplier<RequestDecoder> decoder;
        private final Supplier<ChannelHandler> handler;

        Initializer(Supplier<RequestDecoder> decoder, Supplier<ChannelHandler> handler) {
            this.decoder = decoder;
            this.handler = handler;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(decoder.get())
                    .addLast(new HttpResponseEncoder())
                    .addLast(handler.get());
        }
    }
}
