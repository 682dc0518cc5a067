package org.poplarwharf.internal.standin;

/**
 * A running stand-in for an external system. Confined to one reactor thread.
 */
public interface Standin {
    /** Returns the host and port that clients connect to; the first one if there are several. */
    String address();

    /** Returns the host and port of the administration server. */
    String adminAddress();

    /** Closes every connection and stops listening. */
    void stop();
}
