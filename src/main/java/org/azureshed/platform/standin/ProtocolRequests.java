package org.azureshed.platform.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/**
 * Builds message bodies of the platform's protocol and sends calls, in the roles of the operator, a
 * target and a caller.
 */
public final class ProtocolRequests {
    /** Host name of all routes in {@link #configuration}. */
    public static final String HOST = "shop.example";

    private static final String REQUEST_ID = "X-Azureshed-Request-Id";

    private static final ObjectMapper JSON = new ObjectMapper();

    private ProtocolRequests() {}

    /**
     * A route for {@link #configuration}.
     *
     * @param prefix path prefix; begins and ends with a slash
     * @param kind {@code idempotent}, {@code non_idempotent} or {@code download}
     * @param service name of the service that receives the requests
     * @param timeoutMillis longest time that a caller waits
     */
    public record RouteSpec(String prefix, String kind, String service, long timeoutMillis) {}

    /**
     * Builds a configuration in the JSON form that the operator stores.
     *
     * @param version version number, without the prefix {@code r}
     * @param routes routes of the configuration; may be empty
     * @return content of the operator's object in the store
     */
    public static ObjectNode configuration(long version, List<RouteSpec> routes) {
        ObjectNode configuration = JSON.createObjectNode().put("version", "r" + version);
        ArrayNode resources = configuration.putArray("resources");
        for (RouteSpec route : routes) {
            ObjectNode resource = resources.addObject().put("resourceType", "routes");
            resource.putObject("metadata").put("name", "r" + route.prefix().replace('/', '-'));
            resource.putObject("specification")
                    .put("host", HOST)
                    .put("pathPrefix", route.prefix())
                    .put("kind", route.kind())
                    .put("timeoutMs", route.timeoutMillis())
                    .put("targetLatencyMs", 500)
                    .put("priority", 1)
                    .put("service", route.service())
                    .put("attempts", 2);
        }
        ObjectNode limits = resources.addObject().put("resourceType", "limits");
        limits.putObject("metadata");
        limits.putObject("specification")
                .put("maxHeaderBytes", 16_384)
                .put("maxBodyBytes", 1_048_576)
                .put("headerTimeoutMs", 3_000)
                .put("idleTimeoutMs", 15_000);
        return configuration;
    }

    /**
     * Builds the body of a target's heartbeat.
     *
     * @param address IP address and port of the target
     * @param service name of the target's service
     * @param slots number of requests that the target runs concurrently
     * @param state {@code ready} or {@code draining}
     * @param sequence number of the heartbeat, increasing within one run of the target
     * @param startMillis Unix time of the target's start in milliseconds
     * @return the JSON text
     */
    public static String heartbeat(
            String address,
            String service,
            int slots,
            String state,
            long sequence,
            long startMillis) {
        ObjectNode body = JSON.createObjectNode().put("address", address).put("born", startMillis);
        body.putObject("info")
                .put("service", service)
                .put("version", "v1")
                .put("zone", "a")
                .put("slots", slots);
        body.putObject("status")
                .put("state", state)
                .put("sequence", sequence)
                .put("warmupLeftMs", 0);
        return body.toString();
    }

    /**
     * Sends a caller's request to the entry side of a node and waits for the response.
     *
     * @param client HTTP client to send with
     * @param method HTTP method
     * @param address IP address and port of the entry side
     * @param path path and query
     * @param body request body; empty for none
     * @param id request identifier
     * @param deadlineMillis time that the caller waits, sent in the deadline header
     * @return the response, of any status
     * @throws IOException if the request got no response
     * @throws InterruptedException if the thread was interrupted while waiting
     */
    public static HttpResponse<String> request(
            HttpClient client,
            String method,
            String address,
            String path,
            String body,
            String id,
            long deadlineMillis)
            throws IOException, InterruptedException {
        return call(
                client,
                method,
                address,
                path,
                body,
                "Host",
                HOST,
                REQUEST_ID,
                id,
                "X-Azureshed-Deadline-Ms",
                Long.toString(deadlineMillis));
    }

    /**
     * Returns whether a response was produced by a target for the given request.
     *
     * @param response response that the caller received
     * @param id request identifier
     * @return true if the response echoes the identifier and has a target's signature header
     */
    public static boolean isTargetResponse(HttpResponse<String> response, String id) {
        return response.headers().firstValue(REQUEST_ID).orElse("").equals(id)
                && response.headers().firstValue("X-Azureshed-Response-Signature").isPresent();
    }

    /**
     * Sends an HTTP call and waits at most 12 s for the response.
     *
     * @param client HTTP client to send with
     * @param method HTTP method
     * @param address IP address and port
     * @param path path and query
     * @param body request body; empty for none
     * @param headers alternating header names and values; may be empty
     * @return the response, of any status
     * @throws IOException if the call got no response
     * @throws InterruptedException if the thread was interrupted while waiting
     */
    public static HttpResponse<String> call(
            HttpClient client,
            String method,
            String address,
            String path,
            String body,
            String... headers)
            throws IOException, InterruptedException {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofSeconds(12))
                        .method(
                                method,
                                body.isEmpty()
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }
}
