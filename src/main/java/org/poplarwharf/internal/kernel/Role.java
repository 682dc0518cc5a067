package org.poplarwharf.internal.kernel;

import io.activej.promise.Promise;

/**
 * A part of a node with a life cycle. Every node runs the same roles.
 *
 * <p>Called from the control thread only. Roles start in the order of their registration and drain and stop in reverse.
 */
public interface Role {
    String name();

    /** Starts the role; completes when it can work. */
    Promise<Void> start();

    /** Takes no new work and completes when the work under way is done; the kernel bounds the time. */
    Promise<Void> drain();

    /** Releases what the role holds. */
    Promise<Void> stop();

    /** Makes a role for a node. The extension point under which roles register. */
    interface Factory {
        Role create(NodeContext context);
    }
}
