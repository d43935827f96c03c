package org.azureshed.proxy;

import java.io.IOException;
import org.azureshed.model.RefusalReason;

/** Reading a request body from the caller failed, or the body is over the size limit. */
final class CallerBodyException extends IOException {
    private static final long serialVersionUID = 1;

    private final RefusalReason reason;

    CallerBodyException(RefusalReason reason, Throwable cause) {
        super(reason.message(), cause);
        this.reason = reason;
    }

    RefusalReason reason() {
        return reason;
    }
}
