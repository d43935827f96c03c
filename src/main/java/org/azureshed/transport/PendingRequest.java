package org.azureshed.transport;

import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.azureshed.generated.ControlMessage;
import org.azureshed.model.Endpoint;

/** A request that waits for its reply, an error or its timeout. */
final class PendingRequest {
    private final Endpoint peer;
    private final ControlMessage message;
    private final long timeoutMillis;
    private final long startNanos = System.nanoTime();
    private final CompletableFuture<Either<TransportError, ControlMessage>> result =
            new CompletableFuture<>();

    PendingRequest(Endpoint peer, ControlMessage message, Duration timeout) {
        this.peer = peer;
        this.message = message;
        this.timeoutMillis = timeout.toMillis();
    }

    ControlMessage message(long requestId) {
        return message.toBuilder().setRequestId(requestId).setReply(false).build();
    }

    /** Milliseconds until the timeout, at least 1. */
    long remainingMillis() {
        long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        return Math.max(1, timeoutMillis - elapsed);
    }

    CompletionStage<Either<TransportError, ControlMessage>> result() {
        return result;
    }

    void complete(ControlMessage reply) {
        result.complete(Either.right(reply));
    }

    void fail(TransportError error) {
        result.complete(Either.left(error));
    }

    void timeOut() {
        fail(new TransportError.TimedOut(peer, timeoutMillis));
    }
}
