package org.poplarwharf.internal.dispatch;

/** How a run at a target ended, as its node saw it. Immutable and thread-safe. */
public sealed interface RunOutcome {
    /** The first event came this long after the request was sent. */
    record Answered(long firstEventMillis) implements RunOutcome {}

    /** The target stated that it did not run the request: it lacks the model or the adapter, or is full. */
    record Declined() implements RunOutcome {}

    /** No connection could be opened, or it broke before the answer's end. */
    record Broken() implements RunOutcome {}

    /** The caller left, or the answer ended for a reason that says nothing of the target. */
    record Abandoned() implements RunOutcome {}
}
