package org.poplarwharf.internal.kernel;

/**
 * The life cycle of a node, registered as a service by the kernel. Thread-safe.
 */
public interface NodeLifeCycle {
    /** The phases of a node, in order. */
    enum Phase {
        STARTING,
        RUNNING,
        DRAINING,
        STOPPED
    }

    /** Returns the current phase. */
    Phase phase();

    /** Starts to drain the node and returns immediately. Further calls have no effect. */
    void requestDrain();
}
