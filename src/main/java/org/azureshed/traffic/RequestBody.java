package org.azureshed.traffic;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.util.internal.OutOfDirectMemoryError;

/**
 * The body of one request while it is held. Its whole capacity is reserved in a {@link BodyMemory},
 * so that the bound also covers the copy which a growing buffer needs.
 */
final class RequestBody {
    /** Capacity for a body of unknown length; most bodies are smaller. */
    private static final int FIRST_CAPACITY_BYTES = 4 << 10;

    /**
     * Larger buffers do not come from the allocator's pool, where one that is held can keep several
     * others in memory.
     */
    private static final int MAX_POOLED_BYTES = 64 << 10;

    private final BodyMemory memory;
    private final ByteBufAllocator allocator;
    private ByteBuf bytes = Unpooled.EMPTY_BUFFER;

    RequestBody(BodyMemory memory, ByteBufAllocator allocator) {
        this.memory = memory;
        this.allocator = allocator;
    }

    /** Returns the content so far, owned by this object. */
    ByteBuf bytes() {
        return bytes;
    }

    /** Makes room for a body of a known length; false if the bound would be exceeded. */
    boolean reserve(long length) {
        return length <= bytes.capacity() || length <= Integer.MAX_VALUE && grow((int) length);
    }

    /** Appends a part of the body; false, without a change, if the bound would be exceeded. */
    boolean append(ByteBuf part) {
        long length = (long) bytes.readableBytes() + part.readableBytes();
        if (length > bytes.capacity()) {
            long doubled = Math.max(FIRST_CAPACITY_BYTES, 2L * bytes.capacity());
            if (!reserve(Math.max(length, doubled)) && !reserve(length)) {
                return false;
            }
        }
        bytes.writeBytes(part);
        return true;
    }

    private boolean grow(int capacity) {
        if (!memory.reserve(capacity)) {
            return false;
        }
        ByteBufAllocator source =
                capacity > MAX_POOLED_BYTES ? UnpooledByteBufAllocator.DEFAULT : allocator;
        ByteBuf larger;
        try {
            larger = source.directBuffer(capacity, capacity);
        } catch (OutOfDirectMemoryError e) {
            // Something else uses the memory; the request can still be refused.
            memory.release(capacity);
            return false;
        }
        larger.writeBytes(bytes);
        release();
        bytes = larger;
        return true;
    }

    /** Frees the memory; the body is empty afterwards. */
    void release() {
        memory.release(bytes.capacity());
        bytes.release();
        bytes = Unpooled.EMPTY_BUFFER;
    }
}
