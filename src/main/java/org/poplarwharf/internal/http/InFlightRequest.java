package org.poplarwharf.internal.http;

/** A request in flight to a target. Confined to its event loop. */
public interface InFlightRequest {
    /**
     * Cancels the request by closing its connection, which makes the target stop. The listener gets no further calls.
     */
    void cancel();

    /** Pauses or resumes reading the response, to apply backpressure for a slow caller. */
    void setReading(boolean enabled);
}
