package org.azureshed.proxy;

import org.apache.hc.core5.http.ClassicHttpResponse;
import org.azureshed.model.Outcome;

/** Result of sending one request over one connection. */
sealed interface ForwardResult {
    /**
     * The head of an answer arrived. The body is read from the response, which must be closed.
     *
     * @param response the answer
     */
    record Answer(ClassicHttpResponse response) implements ForwardResult {}

    /**
     * No answer arrived.
     *
     * @param outcome {@link Outcome.NotRun} if no byte was sent, else {@link Outcome.Unknown}
     * @param detail description of the failure, for the log
     */
    record Failed(Outcome outcome, String detail) implements ForwardResult {}
}
