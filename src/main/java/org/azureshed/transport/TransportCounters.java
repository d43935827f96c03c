package org.azureshed.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counts the traffic and the errors of a transport since its creation. */
public final class TransportCounters {
    final LongAdder bytesSent = new LongAdder();
    final LongAdder bytesReceived = new LongAdder();
    final LongAdder unknownReplies = new LongAdder();
    final LongAdder oversizedFrames = new LongAdder();
    final LongAdder malformedFrames = new LongAdder();
    final LongAdder rejectedConnections = new LongAdder();

    TransportCounters() {}

    /**
     * Bytes written to connections, with frame lengths but without TCP and IP headers.
     *
     * @return the number of bytes
     */
    public long bytesSent() {
        return bytesSent.sum();
    }

    /**
     * Bytes read from connections, with frame lengths but without TCP and IP headers.
     *
     * @return the number of bytes
     */
    public long bytesReceived() {
        return bytesReceived.sum();
    }

    /**
     * Messages dropped because they answer no open request, mostly replies after a timeout.
     *
     * @return the number of messages
     */
    public long unknownReplies() {
        return unknownReplies.sum();
    }

    /**
     * Connections closed because a peer announced a frame above the limit.
     *
     * @return the number of frames
     */
    public long oversizedFrames() {
        return oversizedFrames.sum();
    }

    /**
     * Connections closed because a frame was not a valid message.
     *
     * @return the number of frames
     */
    public long malformedFrames() {
        return malformedFrames.sum();
    }

    /**
     * Inbound connections closed on arrival because the limit was reached.
     *
     * @return the number of connections
     */
    public long rejectedConnections() {
        return rejectedConnections.sum();
    }
}
