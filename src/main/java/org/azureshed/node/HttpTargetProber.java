package org.azureshed.node;

import jakarta.inject.Inject;
import jakarta.inject.Provider;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.config.ConnectionConfig;
import org.apache.hc.client5.http.config.RequestConfig;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.client5.http.impl.io.PoolingHttpClientConnectionManagerBuilder;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.util.Timeout;
import org.azureshed.control.ControlLoop;
import org.azureshed.ejection.internal.TargetProber;
import org.azureshed.http.CleanConnectionFactory;
import org.azureshed.model.TargetId;
import org.azureshed.model.TargetInfo;

/** Probes a hosted target with a GET request of its root path. */
@Singleton
final class HttpTargetProber implements TargetProber {
    private static final Timeout TIMEOUT = Timeout.ofSeconds(1);
    private static final int FIRST_SERVER_ERROR = 500;

    private final Provider<ControlLoop> control;
    private final CloseableHttpClient client =
            HttpClients.custom()
                    .setConnectionManager(
                            PoolingHttpClientConnectionManagerBuilder.create()
                                    .setConnectionFactory(new CleanConnectionFactory(Duration.ZERO))
                                    .setDefaultConnectionConfig(
                                            ConnectionConfig.custom()
                                                    .setConnectTimeout(TIMEOUT)
                                                    .build())
                                    .build())
                    .setDefaultRequestConfig(
                            RequestConfig.custom()
                                    .setConnectionRequestTimeout(TIMEOUT)
                                    .setResponseTimeout(TIMEOUT)
                                    .build())
                    .disableAutomaticRetries()
                    .disableRedirectHandling()
                    .disableContentCompression()
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
        String address = target.get().address().toString();
        try (ClassicHttpResponse response =
                client.executeOpen(null, new HttpGet("http://" + address + "/"), null)) {
            return response.getCode() < FIRST_SERVER_ERROR;
        } catch (IOException failed) {
            return false;
        }
    }
}
