package org.azureshed.traffic;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;

/** HTTP messages that a caller sent behind the request being served. */
final class PipelinedMessages {
    private final BodyMemory memory;
    private final Deque<Object> messages = new ArrayDeque<>();
    private long headBytes;
    private long bodyBytes;

    PipelinedMessages(BodyMemory memory) {
        this.memory = memory;
    }

    /** Estimate of the heap for the queued heads. */
    long headBytes() {
        return headBytes;
    }

    /** Size of the queued parts of bodies. */
    long bodyBytes() {
        return bodyBytes;
    }

    int size() {
        return messages.size();
    }

    boolean isEmpty() {
        return messages.isEmpty();
    }

    /** Takes over a message; false, without taking it, if there is no memory for it. */
    boolean add(Object message) {
        if (!memory.reserve(bodyBytes(message))) {
            return false;
        }
        messages.add(message);
        headBytes += headBytes(message);
        bodyBytes += bodyBytes(message);
        return true;
    }

    /** Removes the oldest message, which the caller of this method must release. */
    Object remove() {
        Object message = messages.remove();
        memory.release(bodyBytes(message));
        headBytes -= headBytes(message);
        bodyBytes -= bodyBytes(message);
        return message;
    }

    void clear() {
        while (!messages.isEmpty()) {
            ReferenceCountUtil.release(remove());
        }
    }

    private static long headBytes(Object message) {
        return message instanceof HttpRequest request ? RequestHeads.heldBytes(request) : 0;
    }

    private static int bodyBytes(Object message) {
        return message instanceof HttpContent content ? content.content().readableBytes() : 0;
    }
}
