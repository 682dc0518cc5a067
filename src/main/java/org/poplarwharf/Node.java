package org.poplarwharf;

import org.poplarwharf.internal.kernel.NodeKernel;
import org.poplarwharf.internal.kernel.NodeSettings;

/**
 * A running node. Serves callers' requests, follows the platform's log and holds the leases of cells.
 *
 * <p>Invariant: a node is started, drained and stopped once, in this order, and can't be restarted. Thread-safe; the
 * methods block until they have completed and must not be called from the node's own threads.
 *
 * <pre>{@code
 * Node node = Node.start(settings);
 * try {
 *     client.connect(node.settings().listenAddress());
 * } finally {
 *     node.drain();
 *     node.stop();
 * }
 * }</pre>
 */
public final class Node {
    private final NodeKernel kernel;

    private Node(NodeKernel kernel) {
        this.kernel = kernel;
    }

    /**
     * Starts a node and waits until it accepts connections. If a role does not start, stops the roles that have started
     * and throws the failure of that role.
     *
     * @param settings validated settings; port 0 selects any free port
     */
    public static Node start(NodeSettings settings) {
        NodeKernel kernel = new NodeKernel(settings);
        kernel.start();
        return new Node(kernel);
    }

    /** Returns the effective settings, with the ports that the node listens on. */
    public NodeSettings settings() {
        return kernel.settings();
    }

    /** Stops accepting requests and waits for those in flight, for at most the drain time in the settings. */
    public void drain() {
        kernel.drain();
    }

    /** Stops the node and releases its resources. Requests in flight, of which {@link #drain} leaves fewer, get a failure. */
    public void stop() {
        kernel.stop();
    }

    /** Blocks until another thread has stopped the node. */
    public void awaitStop() {
        kernel.awaitStop();
    }
}
