package org.poplarwharf.process;

/**
 * What a caller got for a request. Immutable.
 *
 * @param sentAtMillis monotonic time, comparable with the journals' of this machine
 * @param millis from sending to the end
 * @param status the HTTP status; zero when the connection was lost, negative when none was made
 * @param text the tokens of a completion, the body's hash in a call's answer
 * @param ran what a failure says of whether the request was run
 * @param whole whether the answer came with its explicit end
 */
record CallerAnswer(
        CallerRequest request,
        long sentAtMillis,
        long millis,
        int status,
        String text,
        String code,
        String ran,
        boolean whole) {
    static final int LOST = 0;
    static final int NOT_CONNECTED = -1;

    boolean good() {
        return status == 200 && whole && code.isEmpty();
    }

    boolean refused() {
        return !code.isEmpty();
    }

    @Override
    public String toString() {
        return "#%d %s %d %s ran=%s whole=%s in %d ms"
                .formatted(request.number(), request.kind(), status, code, ran, whole, millis);
    }
}
