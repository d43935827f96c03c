package org.azureshed.traffic;

import java.util.List;

/**
 * Names of the headers that callers and targets use.
 *
 * @param requestId identifies a request; a target echoes it in its answer
 * @param deadline milliseconds that the caller waits for the answer
 * @param signature present on every genuine successful answer of a target
 * @param expectedInstance identifier of the only target that may run the request
 * @param notExecuted present on an answer if the target did not run the request
 * @param callerService service of the target beside the entry side of the request
 * @param key key of the caller's organisation; never sent on
 * @param organisation name of the caller's organisation, for targets
 */
public record HeaderNames(
        String requestId,
        String deadline,
        String signature,
        String expectedInstance,
        String notExecuted,
        String callerService,
        String key,
        String organisation) {
    /**
     * Lists the headers that one answer of a target has at most once.
     *
     * @return header names
     */
    public List<String> ofOneTargetAnswer() {
        return List.of(requestId, signature, notExecuted);
    }

    /**
     * Lists the headers that one request has at most once.
     *
     * @return header names
     */
    public List<String> ofOneRequest() {
        return List.of("Host", requestId, key);
    }
}
