package org.poplarwharf.soak;

/** The kinds of request that callers send; each has its own route. */
enum CallKind {
    SAFE("/safe/", true, false, 2_000),
    ONCE("/once/", false, false, 2_000),
    STREAM("/stream/", false, true, 5_000),
    RESUMABLE("/resumable/", true, true, 5_000);

    final String path;
    final boolean retryable;
    final boolean streaming;
    final long timeoutMillis;

    CallKind(String path, boolean repeatable, boolean stream, long timeoutMillis) {
        this.path = path;
        this.retryable = repeatable;
        this.streaming = stream;
        this.timeoutMillis = timeoutMillis;
    }
}
