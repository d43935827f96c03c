package org.azureshed.node;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.azureshed.model.RefusalReason;
import org.azureshed.proxy.InternalHeaders;
import org.azureshed.telemetry.FleetMetrics;
import org.azureshed.telemetry.FleetMetrics.Side;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;

/** Writes the JSON refusal for requests that the server rejects before they reach a handler. */
@Singleton
final class JsonErrorHandler extends ErrorHandler {
    private final FleetMetrics metrics;

    @Inject
    JsonErrorHandler(FleetMetrics metrics) {
        this.metrics = metrics;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        RefusalReason reason = reason(response.getStatus());
        metrics.refused(Side.ENTRY, reason);
        String json =
                "{\"outcome\":\"not-run\",\"reason\":\"%s\",\"message\":\"%s\"}\n"
                        .formatted(reason.label(), reason.message());
        byte[] body = json.getBytes(StandardCharsets.UTF_8);
        response.getHeaders().put(InternalHeaders.OUTCOME, "not-run");
        response.getHeaders().put(InternalHeaders.REASON, reason.label());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
        response.write(true, ByteBuffer.wrap(body), callback);
        return true;
    }

    private static RefusalReason reason(int status) {
        return switch (status) {
            case HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, HttpStatus.URI_TOO_LONG_414 ->
                    RefusalReason.HEADER_LIMIT;
            case HttpStatus.REQUEST_TIMEOUT_408 -> RefusalReason.BODY_TOO_SLOW;
            case HttpStatus.PAYLOAD_TOO_LARGE_413 -> RefusalReason.BODY_LIMIT;
            default -> RefusalReason.BAD_FRAMING;
        };
    }
}
