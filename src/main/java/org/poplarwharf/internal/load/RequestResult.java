package org.poplarwharf.internal.load;

/**
 * The outcome of one request. Immutable and thread-safe.
 *
 * @param status the HTTP status, or zero if the connection was lost
 * @param code the failure code, or empty on success
 * @param ran whether the request was executed, according to the response: yes, no or unknown
 * @param whole whether the response arrived completely; a stream is complete only with its end marker
 * @param coldStart whether the request waited for a load
 * @param firstByteMillis time from the due time to the first byte of the body, or negative if none arrived
 * @param wholeMillis time from the due time to the end of the response
 */
public record RequestResult(
        Arrival arrival,
        int status,
        String code,
        String ran,
        boolean whole,
        boolean coldStart,
        long firstByteMillis,
        long wholeMillis) {

    private static final int STATUS_OK = 200;

    /** Returns whether the caller received a complete successful response within the deadline. */
    public boolean metDeadline() {
        return status == STATUS_OK && whole && wholeMillis <= arrival.deadlineMillis();
    }

    /** Returns whether the caller received a final response: an error, or a complete successful response. */
    public boolean receivedFinalResponse() {
        return status != 0 && (whole || status != STATUS_OK);
    }
}
