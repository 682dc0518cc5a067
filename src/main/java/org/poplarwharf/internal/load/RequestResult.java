package org.poplarwharf.internal.load;

/**
 * What became of one request. Immutable and thread-safe.
 *
 * @param status the HTTP status, zero when the connection was lost
 * @param code the failure code, empty for an answer
 * @param ran what the answer says of whether it was run: yes, no or unknown
 * @param whole whether the answer came with its explicit end
 * @param coldStart whether the request had to wait for a load
 * @param firstByteMillis from the due time to the first byte of the body, negative when none came
 * @param wholeMillis from the due time to the end
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

    /** Tells whether the caller got its whole answer within the deadline. */
    public boolean good() {
        return status == STATUS_OK && whole && wholeMillis <= arrival.deadlineMillis();
    }

    /** Tells whether the caller got any final answer. */
    public boolean answered() {
        return status != 0 && (whole || status != STATUS_OK);
    }
}
