package org.azureshed.bench;

import java.io.IOException;
import java.io.InputStream;
import java.net.URI;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;

/** Downloads an export with a pause after each MiB, so that it takes about 10 s. */
final class SlowDownload implements Callable<Boolean> {
    private static final int EXPORT_BYTES = 24 << 20;
    private static final int READ_BYTES = 1 << 20;
    private static final long PAUSE_MILLIS = 400;

    private final URI url;

    SlowDownload(URI entry) {
        this.url = entry.resolve("/exports/1?bytes=" + EXPORT_BYTES);
    }

    /** Returns whether the download succeeded with all its bytes. */
    @Override
    public Boolean call() throws Exception {
        try (CloseableHttpClient client = HttpClients.custom().disableAutomaticRetries().build()) {
            return client.execute(
                    new HttpGet(url),
                    response ->
                            response.getCode() == 200
                                    && readSlowly(response.getEntity().getContent()));
        } catch (IOException ignored) {
            return false;
        }
    }

    private static boolean readSlowly(InputStream input) throws IOException {
        int totalBytes = 0;
        int readBytes;
        while ((readBytes = input.readNBytes(READ_BYTES).length) > 0) {
            totalBytes += readBytes;
            try {
                TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return false;
            }
        }
        return totalBytes == EXPORT_BYTES;
    }
}
