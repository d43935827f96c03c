package org.azureshed.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;

/** Generates the Dropwizard configuration; settings come only from flags and the environment. */
final class ServerConfiguration {
    private static final String LOG_FORMAT = "time=%d{ISO8601,UTC} level=%p %m%n";

    /**
     * Limit that also applies to virtual threads, one for each exchange of the entry, host and
     * admin sides. It must be well above the number of exchanges that the entry side accepts
     * (1,000). Otherwise nodes can deadlock: entry sides hold all threads of their nodes while they
     * wait for each other's host sides, which have no thread left. Only acceptors and selectors use
     * platform threads.
     */
    private static final int MAX_THREADS = 4_096;

    private static final int MIN_THREADS = 8;
    private static final int MAX_HEADER_KIB = 16;

    /** Request bodies that arrive more slowly are refused, so slow callers cannot occupy memory. */
    private static final int MIN_BODY_BYTES_PER_SECOND = 100;

    private ServerConfiguration() {}

    static byte[] json(NodeSettings settings) {
        ObjectNode root = new ObjectMapper().createObjectNode();
        ObjectNode server = root.putObject("server");
        server.put("type", "default");
        server.put("enableVirtualThreads", true);
        server.put("maxThreads", MAX_THREADS);
        server.put("minThreads", MIN_THREADS);
        server.put("registerDefaultExceptionMappers", false);
        server.put("detailedJsonProcessingExceptionMapper", false);
        server.putObject("gzip").put("enabled", false);
        server.putObject("requestLog").putArray("appenders");
        ArrayNode traffic = server.putArray("applicationConnectors");
        addConnector(traffic, settings.address(), settings.entryPort());
        addConnector(traffic, settings.address(), settings.hostPort());
        ArrayNode admin = server.putArray("adminConnectors");
        addConnector(admin, settings.adminAddress(), settings.adminPort());
        ObjectNode logging = root.putObject("logging");
        logging.put("level", "WARN");
        logging.putObject("loggers").put("org.azureshed", "INFO");
        ObjectNode console = logging.putArray("appenders").addObject();
        console.put("type", "console");
        console.put("logFormat", LOG_FORMAT);
        return root.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void addConnector(ArrayNode connectors, String address, int port) {
        ObjectNode connector = connectors.addObject();
        connector.put("type", "http");
        connector.put("bindHost", address);
        connector.put("port", port);
        connector.put("acceptorThreads", 1);
        connector.put("selectorThreads", 1);
        connector.put("idleTimeout", "60s");
        connector.put("useDateHeader", false);
        connector.put("useServerHeader", false);
        connector.put("maxRequestHeaderSize", MAX_HEADER_KIB + "KiB");
        connector.put("maxResponseHeaderSize", MAX_HEADER_KIB + "KiB");
        connector.put("minRequestDataPerSecond", MIN_BODY_BYTES_PER_SECOND + "B");
    }
}
