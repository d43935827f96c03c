package org.azureshed.node;

import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;

/** Serves the metrics in Prometheus text format. */
@Singleton
final class MetricsServlet extends HttpServlet {
    private static final long serialVersionUID = 1;

    private final transient PrometheusRegistry registry;
    private final transient PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().build();

    @Inject
    MetricsServlet(PrometheusRegistry registry) {
        this.registry = registry;
    }

    @Override
    protected void doGet(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        response.setContentType(writer.getContentType());
        writer.write(response.getOutputStream(), registry.scrape());
    }
}
