package org.poplarwharf.internal.entry;

/**
 * Records whether the node is draining, and when it ends. A state that was left is not entered again. Thread-safe.
 */
final class DrainState {
    private volatile Phase phase = new Phase.Serving();

    private sealed interface Phase {
        /** Requests are begun whatever they need. */
        record Serving() implements Phase {}

        /** Streams are begun if they end before the node does, in time of the monotonic clock. */
        record Draining(long endMillis) implements Phase {}

        /** Nothing is begun. */
        record Stopping() implements Phase {}
    }

    /**
     * Starts draining: from now on each response asks the caller to close its connection.
     *
     * @param endMillis when requests in flight are given up, on the monotonic clock
     */
    void begin(long endMillis) {
        phase = new Phase.Draining(endMillis);
    }

    /** Stops: requests in flight are given up. */
    void stop() {
        phase = new Phase.Stopping();
    }

    boolean isDraining() {
        return !(phase instanceof Phase.Serving);
    }

    /** Returns whether a response that may take until this time, on the monotonic clock, can be complete by then. */
    boolean allowsUntil(long deadlineMillis) {
        return switch (phase) {
            case Phase.Serving serving -> true;
            case Phase.Draining draining -> deadlineMillis <= draining.endMillis();
            case Phase.Stopping stopping -> false;
        };
    }

    boolean isStopping() {
        return phase instanceof Phase.Stopping;
    }
}
