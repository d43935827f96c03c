package org.azureshed.sidecar;

import io.netty.channel.EventLoop;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.TimeUnit;

/** The event loop of a node, with all its channels. */
final class NodeLoop implements AutoCloseable {
    private final IoHandlerFactory channels = NioIoHandler.newFactory();
    private IoHandler handler;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, this::newHandler);

    private IoHandler newHandler(ThreadAwareExecutor executor) {
        handler = channels.newHandler(executor);
        return handler;
    }

    EventLoop loop() {
        return group.next();
    }

    /**
     * Closes all channels and ends the loop. Does nothing if it has ended.
     *
     * <p>A loop that ends without a quiet period may skip closing its channels: it looks for the
     * shutdown once before and once after its tasks, and closes them only if it sees it before.
     */
    @Override
    public void close() {
        if (!group.isShuttingDown()) {
            loop().submit(handler::prepareToDestroy).syncUninterruptibly();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }
}
