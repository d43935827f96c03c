package org.azureshed.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.util.Timeout;
import org.azureshed.http.CleanConnectionFactory;

/** Queries nodes for the activation number of the preset that they apply. */
final class FleetStatus {
    private static final Timeout TIMEOUT = Timeout.ofSeconds(2);
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private final ObjectMapper json = new ObjectMapper();

    /**
     * Returns the highest activation number of the nodes, 0 if no node applies a preset yet, or
     * empty if no node responds. Nodes that do not respond are reported on standard error.
     */
    OptionalLong highestActivation(List<URI> nodes) {
        OptionalLong highest = OptionalLong.empty();
        if (nodes.isEmpty()) {
            return highest;
        }
        try (CloseableHttpClient client = client(TIMEOUT)) {
            for (URI node : nodes) {
                try {
                    long number = activation(client, node);
                    highest = OptionalLong.of(Math.max(highest.orElse(0), number));
                } catch (IOException e) {
                    CommandResult.warn("node " + node + " did not answer (" + e + ")");
                }
            }
        } catch (IOException e) {
            CommandResult.warn("the HTTP client did not close: " + e);
        }
        return highest;
    }

    private long activation(CloseableHttpClient client, URI node) throws IOException {
        return client.execute(
                new HttpGet(node.resolve("/v1/status")),
                response -> {
                    if (response.getCode() != 200) {
                        EntityUtils.consume(response.getEntity());
                        throw new IOException("status " + response.getCode());
                    }
                    JsonNode status =
                            json.readTree(
                                    EntityUtils.toByteArray(
                                            response.getEntity(), MAX_RESPONSE_BYTES));
                    return status.path("activationNumber").asLong(0);
                });
    }

    /** Creates a client that accepts only sound responses and sends each request once. */
    static CloseableHttpClient client(Timeout timeout) {
        return HttpClients.custom()
                .setConnectionManager(
                        PoolingHttpClientConnectionManagerBuilder.create()
                                .setConnectionFactory(new CleanConnectionFactory(Duration.ZERO))
                                .setDefaultConnectionConfig(
                                        ConnectionConfig.custom()
                                                .setConnectTimeout(timeout)
                                                .build())
                                .build())
                .setDefaultRequestConfig(RequestConfig.custom().setResponseTimeout(timeout).build())
                .disableAutomaticRetries()
                .disableRedirectHandling()
                .build();
    }
}
