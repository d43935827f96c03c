package org.azureshed.traffic;

import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses the idle timeout that a server announces in the {@code Keep-Alive} header. */
final class KeepAlive {
    private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

    private KeepAlive() {}

    /** Returns the announced idle timeout, or {@link Long#MAX_VALUE} if there is none. */
    static long nanos(HttpResponse response) {
        String header = response.headers().get("Keep-Alive");
        if (header == null) {
            return Long.MAX_VALUE;
        }
        Matcher matcher = TIMEOUT.matcher(header);
        return matcher.find()
                ? TimeUnit.SECONDS.toNanos(Long.parseLong(matcher.group(1)))
                : Long.MAX_VALUE;
    }
}
