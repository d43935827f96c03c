package org.azureshed.simulation;

/** Builds the answers of a target. */
final class TargetAnswers {
    static final String NOT_EXECUTED = "X-Azureshed-Not-Executed: 1\r\n";

    /** Header after which the target closes the connection. */
    static final String CLOSE = "Connection: close\r\n";

    /** Time after which the target closes an idle connection, as its answers say. */
    static final long KEEP_ALIVE_MILLIS = 2_000;

    private static final String KEEP_ALIVE = "Keep-Alive: timeout=2\r\n";

    /** One in some answers is sent in chunks. */
    private static final int CHUNKED_ONE_IN = 6;

    /** One in some answers ends its connection. */
    private static final int CLOSE_ONE_IN = 23;

    /** One in some answers is longer than what one read takes. */
    private static final int LONG_ONE_IN = 40;

    private static final int LONG_BODY_BYTES = 200_000;
    private static final int MAX_SHORT_BODY_BYTES = 3_000;
    private static final int CHUNK_BYTES = 700;

    private TargetAnswers() {}

    /** Body of the answer to a run that succeeds. */
    static String body(int number, String requestId) {
        int length = number % LONG_ONE_IN == 0 ? LONG_BODY_BYTES : number % MAX_SHORT_BODY_BYTES;
        return "answer " + number + " to " + requestId + ".".repeat(length);
    }

    static String shed(HttpReader.Message request) {
        return HttpText.response(503, echo(request) + NOT_EXECUTED, "");
    }

    /** Whole answer to a run, with a length or in chunks. */
    static String whole(Journal.Run run) {
        String headers = echo(run.request()) + signature(run);
        headers += run.number() % CLOSE_ONE_IN == 0 ? CLOSE : KEEP_ALIVE;
        return run.status() == 200 && run.number() % CHUNKED_ONE_IN == 0
                ? chunked(run, headers)
                : HttpText.response(run.status(), headers, run.body());
    }

    private static String chunked(Journal.Run run, String headers) {
        StringBuilder answer = new StringBuilder("HTTP/1.1 200 X\r\n").append(headers);
        answer.append("Transfer-Encoding: chunked\r\n\r\n");
        String body = run.body();
        for (int at = 0; at < body.length(); at += CHUNK_BYTES) {
            String chunk = body.substring(at, Math.min(body.length(), at + CHUNK_BYTES));
            answer.append(Integer.toHexString(chunk.length()))
                    .append("\r\n")
                    .append(chunk)
                    .append("\r\n");
        }
        return answer.append("0\r\n\r\n").toString();
    }

    /** Answer without a length, which ends with its connection. */
    static String unframed(Journal.Run run) {
        return "HTTP/1.1 200 X\r\n" + echo(run.request()) + signature(run) + "\r\n" + run.body();
    }

    private static String echo(HttpReader.Message request) {
        return "X-Azureshed-Request-Id: " + request.requestId() + "\r\n";
    }

    private static String signature(Journal.Run run) {
        return "X-Azureshed-Response-Signature: " + run.number() + "\r\n";
    }
}
