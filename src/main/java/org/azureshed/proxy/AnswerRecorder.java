package org.azureshed.proxy;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.azureshed.idempotency.StoredAnswer;

/** Records a small answer while it is relayed, to replay it for requests with the same key. */
final class AnswerRecorder {
    private final Map<String, String> headers = new HashMap<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean tooLarge;

    void recordHead(ClassicHttpResponse answer) {
        status = answer.getCode();
        for (String name : new String[] {HttpHeaders.CONTENT_TYPE, HttpHeaders.LOCATION}) {
            Header header = answer.getFirstHeader(name);
            if (header != null) {
                headers.put(name, header.getValue());
            }
        }
    }

    void recordBody(byte[] buffer, int count) {
        tooLarge |= body.size() + count > StoredAnswer.MAX_BODY_BYTES;
        if (!tooLarge) {
            body.write(buffer, 0, count);
        }
    }

    /**
     * The recorded answer.
     *
     * @return status and headers, with the body if it was small enough
     */
    StoredAnswer answer() {
        return tooLarge
                ? StoredAnswer.ofStatus(status)
                : new StoredAnswer(status, headers, ByteString.copyFrom(body.toByteArray()));
    }
}
