package org.azureshed.traffic;

/**
 * Names of the headers that callers and targets use.
 *
 * @param requestId identifies a request; a target repeats it in its answer
 * @param deadline milliseconds that the caller will wait
 * @param signature mark of a target's genuine answer
 * @param expectedInstance the only target that may run the request
 * @param notExecuted a target's statement that it did not run the request
 * @param callerService service beside the node where the request began
 */
public record HeaderNames(
        String requestId,
        String deadline,
        String signature,
        String expectedInstance,
        String notExecuted,
        String callerService) {}
