package org.azureshed.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.apache.hc.client5.http.classic.methods.HttpDelete;
import org.apache.hc.client5.http.classic.methods.HttpPost;
import org.apache.hc.client5.http.classic.methods.HttpUriRequestBase;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.azureshed.telemetry.EventLog;

/**
 * Announces a sample target and its state to the node on its VM, periodically and at each change of
 * the state.
 */
final class TargetAnnouncer {
    /** Interval between periodic announcements, in milliseconds. */
    static final long PERIOD_MILLIS = 1_000;

    private static final int FIRST_ERROR_STATUS = 300;

    private final SampleTarget.Settings settings;
    private final ObjectMapper mapper = new ObjectMapper();
    private final CloseableHttpClient client = HttpClients.createMinimal();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(
                    Thread.ofPlatform().daemon().name("announcer").factory());
    private volatile InetSocketAddress address;
    private volatile long readyNanos;
    private volatile boolean draining;

    TargetAnnouncer(SampleTarget.Settings settings) {
        this.settings = settings;
    }

    void start(InetSocketAddress listener) {
        address = listener;
        readyNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.startMillis());
        timer.scheduleAtFixedRate(this::announce, 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        timer.schedule(this::announce, settings.startMillis(), TimeUnit.MILLISECONDS);
    }

    void drain() {
        draining = true;
        announce();
    }

    void withdraw() {
        timer.shutdownNow();
        send(new HttpDelete(settings.admin().resolve("/v1/targets/" + settings.id())));
    }

    private void announce() {
        ObjectNode body = mapper.createObjectNode();
        body.put("id", settings.id());
        body.put("service", settings.service());
        body.put("address", address.getHostString() + ":" + address.getPort());
        body.put("slots", settings.slots());
        body.put("state", state());
        HttpPost request = new HttpPost(settings.admin().resolve("/v1/targets"));
        request.setEntity(new StringEntity(body.toString(), ContentType.APPLICATION_JSON));
        send(request);
    }

    private String state() {
        if (draining) {
            return "draining";
        }
        return System.nanoTime() - readyNanos >= 0 ? "ready" : "starting";
    }

    private void send(HttpUriRequestBase request) {
        try {
            int status = client.execute(request, response -> response.getCode());
            if (status >= FIRST_ERROR_STATUS) {
                EventLog.warning("announcement_failed").with("status", status).write();
            }
        } catch (IOException e) {
            EventLog.warning("announcement_failed").with("error", e.getMessage()).write();
        }
    }
}
