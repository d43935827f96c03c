package org.azureshed.proxy;

import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.HttpRequestExecutor;
import org.apache.hc.core5.http.io.HttpClientConnection;
import org.apache.hc.core5.http.io.HttpResponseInformationCallback;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.util.Timeout;

/**
 * Marks the context of a request when it starts to be written to its connection. A request that
 * failed without the mark cannot have reached the peer.
 */
final class SentMarker extends HttpRequestExecutor {
    private static final String SENT = "azureshed.request-sent";

    private final Timeout bodyIdleTimeout;

    SentMarker(Timeout waitForContinue, Timeout bodyIdleTimeout) {
        super(Http1Config.custom().setWaitForContinueTimeout(waitForContinue).build(), null, null);
        this.bodyIdleTimeout = bodyIdleTimeout;
    }

    @Override
    public ClassicHttpResponse execute(
            ClassicHttpRequest request,
            HttpClientConnection connection,
            HttpResponseInformationCallback informationCallback,
            HttpContext context)
            throws IOException, HttpException {
        context.setAttribute(SENT, Boolean.TRUE);
        ClassicHttpResponse response =
                super.execute(request, connection, informationCallback, context);
        // The response timeout limits the wait for the head only; a body may pause for longer.
        connection.setSocketTimeout(bodyIdleTimeout);
        return response;
    }

    static boolean sent(HttpContext context) {
        return context.getAttribute(SENT) != null;
    }
}
