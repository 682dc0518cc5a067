package org.poplarwharf.internal.standin;

/**
 * A running stand-in. Belongs to one reactor thread.
 */
public interface Standin {
    /** Returns the host and port for clients, or the first of several. */
    String address();

    /** Returns the host and port of the administration endpoint. */
    String adminAddress();

    /** Closes every connection and stops listening. */
    void stop();
}
