package org.azureshed.traffic;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** Client channel whose received bytes can be checked ahead of the event loop's next read. */
final class PeekableSocketChannel extends NioSocketChannel {
    /** What the peer has sent that the event loop has not read yet. */
    enum Received {
        NOTHING,
        BYTES,
        /** The peer has closed or reset the connection. */
        END
    }

    /**
     * Returns what has arrived. Takes one byte off the stream if there is one, so that the
     * connection must be closed unless the result is {@link Received#NOTHING}.
     */
    Received received() {
        try {
            int bytes = javaChannel().read(ByteBuffer.allocate(1));
            return bytes == 0 ? Received.NOTHING : bytes > 0 ? Received.BYTES : Received.END;
        } catch (IOException e) {
            return Received.END;
        }
    }
}
