package org.azureshed.node;

import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import org.azureshed.control.ControlLoop;
import org.azureshed.ejection.internal.TargetProber;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;

/** Probes a hosted target with a GET request of its root path. */
@Singleton
final class HttpTargetProber implements TargetProber {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int FIRST_SERVER_ERROR = 500;

    private final Provider<ControlLoop> control;
    private final HttpClient client =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(TIMEOUT)
                    .build();

    @Inject
    HttpTargetProber(Provider<ControlLoop> control) {
        this.control = control;
    }

    /** Any answer except a server error counts as success: targets need not serve the root path. */
    @Override
    public boolean probe(TargetId id) {
        Optional<TargetInfo> target = control.get().snapshot().hosted(id);
        if (target.isEmpty()) {
            return false;
        }
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + target.get().address() + "/"))
                            .timeout(TIMEOUT)
                            .build();
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()
                    < FIRST_SERVER_ERROR;
        } catch (IOException failed) {
            return false;
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
