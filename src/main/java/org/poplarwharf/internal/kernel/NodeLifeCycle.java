package org.poplarwharf.internal.kernel;

/**
 * How far a node's life is, offered to roles by the kernel. Thread-safe.
 */
public interface NodeLifeCycle {
    /** The states of a node, in order. */
    enum Phase {
        STARTING,
        RUNNING,
        DRAINING,
        STOPPED
    }

    /** Returns the present state. */
    Phase phase();

    /** Begins to drain the node and returns at once; a second call changes nothing. */
    void requestDrain();
}
