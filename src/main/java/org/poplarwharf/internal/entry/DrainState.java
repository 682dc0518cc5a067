package org.poplarwharf.internal.entry;

/**
 * Whether the node is being drained. Thread-safe.
 */
final class DrainState {
    private volatile boolean draining;

    /** From now on callers are told to close their connections after the answer. */
    void begin() {
        draining = true;
    }

    boolean draining() {
        return draining;
    }
}
