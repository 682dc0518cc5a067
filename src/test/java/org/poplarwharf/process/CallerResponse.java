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
 */
record CallerResponse(
        VerifiableRequest request,
        long sentAtMillis,
        long latencyMillis,
        int status,
        String text,
        String code,
        String ran,
        boolean complete) {
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
        return "#%d %s %d %s ran=%s complete=%s in %d ms"
                .formatted(request.number(), request.kind(), status, code, ran, complete, latencyMillis);
    }
}
