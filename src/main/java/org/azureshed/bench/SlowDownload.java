package org.azureshed.bench;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;

/** An export that its caller reads with pauses, so that it takes about 10 s. */
final class SlowDownload implements Callable<Boolean> {
    private static final int BYTES = 24 << 20;
    private static final int STEP_BYTES = 1 << 20;
    private static final long STEP_MILLIS = 400;

    private final URI url;

    SlowDownload(URI entry) {
        this.url = entry.resolve("/exports/1?bytes=" + BYTES);
    }

    /** Returns whether all bytes arrived. */
    @Override
    public Boolean call() throws Exception {
        try (CloseableHttpClient client = HttpClients.custom().disableAutomaticRetries().build()) {
            return client.execute(
                    new HttpGet(url),
                    response ->
                            response.getCode() == 200 && read(response.getEntity().getContent()));
        } catch (IOException ignored) {
            return false;
        }
    }

    private static boolean read(InputStream input) throws IOException {
        int total = 0;
        int count;
        while ((count = input.readNBytes(STEP_BYTES).length) > 0) {
            total += count;
            try {
                TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return total == BYTES;
    }
}
