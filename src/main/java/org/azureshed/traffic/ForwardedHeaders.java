package org.azureshed.traffic;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies end-to-end headers; hop-by-hop headers and headers between nodes are left out. */
final class ForwardedHeaders {
    private static final Set<String> CONNECTION_HEADERS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "proxy-connection",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    /** Prefix of the headers between nodes, which callers and targets must not set. */
    private static final String INTERNAL_PREFIX = "azureshed-";

    private ForwardedHeaders() {}

    static void copy(HttpHeaders from, HttpHeaders to) {
        List<String> named =
                from.getAll(HttpHeaderNames.CONNECTION).stream()
                        .flatMap(value -> List.of(value.split(",")).stream())
                        .map(name -> name.trim().toLowerCase(Locale.ROOT))
                        .toList();
        for (Map.Entry<String, String> header : from) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!CONNECTION_HEADERS.contains(name)
                    && !name.startsWith(INTERNAL_PREFIX)
                    && !named.contains(name)) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}
