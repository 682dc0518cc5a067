package org.poplarwharf.internal.fleet;

/** Defines whether requests of a route may be retried after a failed attempt. Immutable and thread-safe. */
public enum RouteKind {
    /** A request that may run any number of times. */
    REPEATABLE,
    /** A request that must run at most once. */
    ONCE,
    /** A request with an event stream as its response, which must run at most once. */
    STREAM,
    /** A request with an event stream as its response, which another target may resume after the last event. */
    RESUMABLE_STREAM;

    /** Returns whether the response is an event stream. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }

    /** Returns whether a request may be retried after an attempt that may have run. */
    public boolean isRetryable() {
        return this == REPEATABLE || this == RESUMABLE_STREAM;
    }
}
