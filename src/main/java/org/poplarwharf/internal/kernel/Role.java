package org.poplarwharf.internal.kernel;

import io.activej.promise.Promise;

/**
 * A component of a node with its own life cycle. Every node runs the same roles.
 *
 * <p>Called on the control thread only. Roles start in the order of {@link RoleOrder} and drain and stop in reverse.
 */
public interface Role {
    String name();

    /** Starts the role. Completes when the role is operational. */
    Promise<Void> start();

    /** Stops accepting new work. Completes when the work in flight is done; the kernel applies a timeout. */
    Promise<Void> drain();

    /** Stops the role and releases its resources. */
    Promise<Void> stop();

    /** Creates a role for a node. This is the extension point for roles. */
    interface Factory {
        Role create(NodeContext context);
    }
}
