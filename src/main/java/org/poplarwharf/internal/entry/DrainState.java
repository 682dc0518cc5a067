package org.poplarwharf.internal.entry;

/**
 * Records whether the node is draining, and when it ends. A state that was left is not entered again. Thread-safe.
 */
final class DrainState {
    private volatile Phase phase = new Phase.Serving();

    private sealed interface Phase {
        /** Requests are begun whatever they need. */
        record Serving() implements Phase {}

        /** Requests are begun if they end before the drain does, in time of the monotonic clock. */
        record Draining(long endMillis) implements Phase {}

        /** Nothing is begun. */
        record Stopping() implements Phase {}
    }

    /**
     * Starts draining: from now on each response asks the caller to close its connection.
     *
     * @param endMillis when the node stops waiting for requests in flight, on the monotonic clock
     */
    void begin(long endMillis) {
        if (phase instanceof Phase.Serving) {
            phase = new Phase.Draining(endMillis);
        }
    }

    /** Stops: requests in flight are given up. */
    void stop() {
        phase = new Phase.Stopping();
    }

    boolean isDraining() {
        return !(phase instanceof Phase.Serving);
    }

    /** Returns whether a response that may take until this time, on the monotonic clock, may be begun. */
    boolean allowsUntil(long deadlineMillis) {
        return switch (phase) {
            case Phase.Serving serving -> true;
            case Phase.Draining draining -> deadlineMillis <= draining.endMillis();
            case Phase.Stopping stopping -> false;
        };
    }
}
