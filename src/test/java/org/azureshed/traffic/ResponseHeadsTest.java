package org.azureshed.traffic;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Checks the rules on heads that Netty's decoder applies too, so that a byte stream does not reach
 * them: they still hold if the decoder becomes more lenient.
 */
class ResponseHeadsTest {
    private static final List<String> SINGLE = List.of("X-Id");

    private static HttpResponse head(HttpVersion version) {
        return new DefaultHttpResponse(
                version,
                HttpResponseStatus.OK,
                DefaultHttpHeadersFactory.headersFactory().withValidation(false));
    }

    /** A sound head is not refused: its target would seem to fail. */
    @Test
    void soundHeadIsAccepted() {
        HttpResponse head = head(HttpVersion.HTTP_1_1);
        head.headers().add("X-Id", "1").add("Via", "HTTP/1.1 proxy").add("Via", "1.1 b");
        assertEquals(Optional.empty(), ResponseHeads.fault(head, SINGLE));
    }

    /** A copy stopped within the first letters of its head, and another answer followed. */
    @Test
    void otherProtocolIsAFault() {
        HttpVersion version = new HttpVersion("HHTTP", 1, 1, true);
        assertTrue(ResponseHeads.fault(head(version), SINGLE).isPresent());
    }

    /** A copy stopped in the name of a header, and another answer followed. */
    @Test
    void statusLineInAHeaderNameIsAFault() {
        HttpResponse head = head(HttpVersion.HTTP_1_1);
        head.headers().add("Content-TyHTTP/1.1 500 Status", "x");
        assertTrue(ResponseHeads.fault(head, SINGLE).isPresent());
    }
}
