package org.azureshed.proxy;

import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.concurrent.Cancellable;
import org.apache.hc.core5.concurrent.CancellableDependency;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * A request whose connection can be shut down by another thread. The path is kept as received,
 * without the normalisation of {@link java.net.URI}.
 */
final class CancellableRequest extends BasicClassicHttpRequest implements CancellableDependency {
    private static final long serialVersionUID = 1;

    private final transient AtomicReference<Cancellable> dependency = new AtomicReference<>();
    private volatile boolean cancelled;

    CancellableRequest(String method, String path) {
        super(method, path);
    }

    @Override
    public void setDependency(Cancellable cancellable) {
        dependency.set(cancellable);
        if (cancelled) {
            cancellable.cancel();
        }
    }

    @Override
    public boolean isCancelled() {
        return cancelled;
    }

    @Override
    public boolean cancel() {
        cancelled = true;
        Cancellable current = dependency.get();
        return current != null && current.cancel();
    }
}
