package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import org.apache.hc.core5.http.HttpHeaders;
import org.azureshed.control.ControlLoop;

/**
 * Dispatches requests by the listener that they arrived on. Only requests on the host listener may
 * carry internal headers.
 */
@Singleton
public final class TrafficServlet extends HttpServlet {
    private static final long serialVersionUID = 1;

    private final transient EntryHandler entry;
    private final transient HostHandler host;
    private final transient ActiveRequests requests;
    private final transient ControlLoop control;
    private final int hostPort;

    @Inject
    TrafficServlet(
            EntryHandler entry,
            HostHandler host,
            ActiveRequests requests,
            ControlLoop control,
            HostListener listener) {
        this.requests = requests;
        this.control = control;
        this.entry = entry;
        this.host = host;
        this.hostPort = listener.port();
    }

    @Override
    protected void service(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        requests.begin();
        try {
            if (control.snapshot().self().draining()) {
                response.setHeader(HttpHeaders.CONNECTION, "close");
            }
            if (request.getLocalPort() == hostPort) {
                host.handle(request, response);
            } else {
                entry.handle(request, response);
            }
        } catch (CallerBodyException e) {
            if (!response.isCommitted()) {
                AnswerWriter.writeRefusal(response, e.reason(), 0);
            }
        } finally {
            requests.end();
        }
    }
}
