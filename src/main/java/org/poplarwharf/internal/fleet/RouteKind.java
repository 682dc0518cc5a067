package org.poplarwharf.internal.fleet;

/** What a route's requests allow when an attempt fails. Immutable and thread-safe. */
public enum RouteKind {
    /** May run any number of times. */
    REPEATABLE,
    /** Runs at most once. */
    ONCE,
    /** An event stream that runs at most once. */
    STREAM,
    /** An event stream that another target may continue behind the last event. */
    RESUMABLE_STREAM;

    /** Tells whether the answer is a series of events. */
    public boolean isStream() {
        return this == STREAM || this == RESUMABLE_STREAM;
    }

    /** Tells whether a request that may have run can be sent again. */
    public boolean mayRunAgain() {
        return this == REPEATABLE || this == RESUMABLE_STREAM;
    }
}
