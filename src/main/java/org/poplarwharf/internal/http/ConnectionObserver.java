package org.poplarwharf.internal.http;

/** Receives what the connections of a pool show about the paths to targets. Called on the pool's event loop. */
public interface ConnectionObserver {
    /** Called when a new connection to a target has been established. */
    void connected(String targetId);

    /** Called when a new connection to a target could not be established. */
    void connectFailed(String targetId);

    /** Called when a request is sent to a target. */
    void requestSent(String targetId);

    /** Called when a part of a final response of a target has arrived. */
    void received(String targetId);
}
