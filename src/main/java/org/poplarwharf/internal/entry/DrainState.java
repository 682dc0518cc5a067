package org.poplarwharf.internal.entry;

/**
 * Records whether the node is draining. Thread-safe.
 */
final class DrainState {
    private volatile boolean isDraining;

    /** Starts draining: from now on each response asks the caller to close its connection. */
    void begin() {
        isDraining = true;
    }

    boolean isDraining() {
        return isDraining;
    }
}
