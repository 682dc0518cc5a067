package org.poplarwharf.internal.http;

/** A request in flight to a target. Confined to its event loop. */
public interface InFlightRequest {
    /** Returns whether the connection has carried no other request, so that all that it brings belongs to this one. */
    boolean isFirstOnConnection();

    /**
     * Cancels the request by closing its connection, which makes the target stop. The listener gets no further calls.
     */
    void cancel();

    /** Pauses or resumes reading the response, to apply backpressure for a slow caller. */
    void setReading(boolean enabled);
}
