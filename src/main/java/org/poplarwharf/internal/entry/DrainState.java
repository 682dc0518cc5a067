package org.poplarwharf.internal.entry;

/**
 * Whether the node is being drained. Thread-safe.
 */
final class DrainState {
    private volatile boolean isDraining;

    /** From now on callers are told to close their connections after the answer. */
    void begin() {
        isDraining = true;
    }

    boolean isDraining() {
        return isDraining;
    }
}
