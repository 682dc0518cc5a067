package org.poplarwharf.internal.response;

import java.io.IOException;

/**
 * The bytes of a connection are no HTTP response. Nothing that they state is to be believed, not even a status that would say
 * that a request has not run. Immutable and thread-safe.
 */
public final class BrokenResponseException extends IOException {
    private static final long serialVersionUID = 1;

    /** Creates the failure; the reason names the part of the response that is malformed, without its content. */
    public BrokenResponseException(String reason) {
        super(reason);
    }

    /** Omits the class name, so that logs state the reason alone. */
    @Override
    public String toString() {
        return "broken response: " + getMessage();
    }
}
