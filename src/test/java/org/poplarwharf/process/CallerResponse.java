package org.poplarwharf.process;

/**
 * The outcome of a request as its caller saw it. Immutable.
 *
 * @param sentAtMillis monotonic time, comparable with the times in the journals of the same machine
 * @param latencyMillis time from sending the request to the end of the response
 * @param status the HTTP status; {@link #CONNECTION_LOST} or {@link #NOT_CONNECTED} if there was none
 * @param text the tokens of a completion, or the body hash that a service returned
 * @param ran whether the request was run, as an error response states it
 * @param complete whether the response ended explicitly rather than by a closed connection
 * @param problem the body of an error response, or why there is no response; else empty
 */
record CallerResponse(
        VerifiableRequest request,
        long sentAtMillis,
        long latencyMillis,
        int status,
        String text,
        String code,
        String ran,
        boolean complete,
        String problem) {
    static final int CONNECTION_LOST = 0;
    static final int NOT_CONNECTED = -1;

    boolean isSuccessful() {
        return status == 200 && complete && code.isEmpty();
    }

    boolean hasErrorCode() {
        return !code.isEmpty();
    }

    @Override
    public String toString() {
        return "#%d %s %d %s ran=%s complete=%s in %d ms, sent at %d ms %s"
                .formatted(
                        request.number(),
                        request.kind(),
                        status,
                        code,
                        ran,
                        complete,
                        latencyMillis,
                        sentAtMillis,
                        problem);
    }
}
