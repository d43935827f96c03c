package org.azureshed.proxy;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;
import java.io.IOException;
import org.azureshed.model.NodeInfo;

/**
 * Dispatches requests by the listener that they arrived on. Only requests on the host listener may
 * carry internal headers.
 */
@Singleton
public final class TrafficServlet extends HttpServlet {
    private static final long serialVersionUID = 1;

    private final transient EntryHandler entry;
    private final transient HostHandler host;
    private final int hostPort;

    @Inject
    TrafficServlet(EntryHandler entry, HostHandler host, NodeInfo self) {
        this.entry = entry;
        this.host = host;
        this.hostPort = self.host().port();
    }

    @Override
    protected void service(HttpServletRequest request, HttpServletResponse response)
            throws IOException {
        try {
            if (request.getLocalPort() == hostPort) {
                host.handle(request, response);
            } else {
                entry.handle(request, response);
            }
        } catch (CallerBodyException e) {
            if (!response.isCommitted()) {
                AnswerWriter.refuse(response, e.reason(), 0);
            }
        }
    }
}
