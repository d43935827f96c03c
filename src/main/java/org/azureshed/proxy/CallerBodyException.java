package org.azureshed.proxy;

import java.io.IOException;
import org.azureshed.model.RefusalReason;

/** The rest of a request body could not be read from the caller, or is over the limit. */
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
