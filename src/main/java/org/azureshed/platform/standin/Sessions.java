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

/** Bodies and calls of the platform's protocol, as operators, targets and callers send them. */
public final class Sessions {
    /** Host name of all routes made here. */
    public static final String HOST = "shop.example";

    private static final String REQUEST_ID = "X-Azureshed-Request-Id";

    private static final ObjectMapper JSON = new ObjectMapper();

    private Sessions() {}

    /**
     * A route for {@link #configuration}.
     *
     * @param prefix path prefix
     * @param kind kind of its requests, as the platform names it
     * @param service the service
     * @param timeoutMillis longest time that a caller waits
     */
    public record RouteText(String prefix, String kind, String service, long timeoutMillis) {}

    /**
     * A configuration as the operator writes it.
     *
     * @param version number of its version
     * @param routes its routes
     * @return the content of the operator's object
     */
    public static ObjectNode configuration(long version, List<RouteText> routes) {
        ObjectNode configuration = JSON.createObjectNode().put("version", "r" + version);
        ArrayNode resources = configuration.putArray("resources");
        for (RouteText route : routes) {
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
     * A heartbeat.
     *
     * @param address IP address and port of the target
     * @param service name of its service
     * @param slots requests it runs at the same time
     * @param state {@code ready} or {@code draining}
     * @param sequence number of the heartbeat
     * @param startMillis Unix time of the target's start in milliseconds
     * @return the body of the call
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
     * Sends a caller's request to the entry side of a node and waits for its answer.
     *
     * @param client the client
     * @param method HTTP method
     * @param address IP address and port of the entry side
     * @param path path and query
     * @param body the body; empty for none
     * @param id the request's identifier
     * @param deadlineMillis how long the caller waits, as it tells the node
     * @return the answer
     * @throws IOException if the request got no answer
     * @throws InterruptedException if the thread was interrupted
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
     * Whether an answer is a target's own answer to a request.
     *
     * @param answer the answer
     * @param id the request's identifier
     * @return true if the answer echoes the identifier and bears a target's mark
     */
    public static boolean answers(HttpResponse<String> answer, String id) {
        return answer.headers().firstValue(REQUEST_ID).orElse("").equals(id)
                && answer.headers().firstValue("X-Azureshed-Response-Signature").isPresent();
    }

    /**
     * Sends a call and waits for its answer for at most 12 s.
     *
     * @param client the client
     * @param method HTTP method
     * @param address IP address and port
     * @param path path and query
     * @param body the body; empty for none
     * @param headers alternating names and values
     * @return the answer
     * @throws IOException if the call got no answer
     * @throws InterruptedException if the thread was interrupted
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
