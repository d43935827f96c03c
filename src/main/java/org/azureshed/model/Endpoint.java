package org.azureshed.model;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.net.InetAddresses;
import java.util.Set;

/**
 * Host and port of a TCP endpoint.
 *
 * @param host IP address or host name
 * @param port TCP port, 1 to 65535
 */
public record Endpoint(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** A connection to one of these reaches the local machine. */
    private static final Set<String> UNSPECIFIED_ADDRESSES = Set.of("0.0.0.0", "[::]");

    /** Checks host and port. */
    public Endpoint {
        checkArgument(!host.isBlank(), "host of an endpoint is empty");
        checkArgument(port > 0 && port <= MAX_PORT, "port %s is outside 1 to 65535", port);
    }

    /**
     * Parses {@code host:port}.
     *
     * @param text for example {@code 10.0.0.7:8080}
     * @return the endpoint
     * @throws IllegalArgumentException if the text is not of this form or the port is out of range
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        checkArgument(colon > 0, "endpoint \"%s\" is not of the form host:port", text);
        String port = text.substring(colon + 1);
        checkArgument(
                port.matches("\\d{1,5}"), "port of endpoint \"%s\" is not a whole number", text);
        return new Endpoint(text.substring(0, colon), Integer.parseInt(port));
    }

    /**
     * Parses an IP address and port, so that using the endpoint needs no name resolution.
     *
     * @param text for example {@code 10.0.0.7:8080} or {@code [fd00::7]:8080}
     * @return the endpoint
     * @throws IllegalArgumentException if the host is not an IP address literal of one machine, or
     *     the port is missing or out of range
     */
    public static Endpoint parseIp(String text) {
        Endpoint endpoint = parse(text);
        checkArgument(
                InetAddresses.isUriInetAddress(endpoint.host)
                        && !UNSPECIFIED_ADDRESSES.contains(endpoint.host),
                "host of endpoint \"%s\" is not the IP address of a machine",
                text);
        return endpoint;
    }

    /**
     * Replaces the port.
     *
     * @param changed TCP port, 1 to 65535
     * @return an endpoint with the same host
     */
    public Endpoint withPort(int changed) {
        return new Endpoint(host, changed);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
