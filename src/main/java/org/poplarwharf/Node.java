package org.poplarwharf;

import org.poplarwharf.internal.kernel.NodeKernel;
import org.poplarwharf.internal.kernel.NodeSettings;

/**
 * A running node: takes callers' requests, follows the platform's log and holds cells.
 *
 * <p>Invariant: a node goes through its life once: started, draining, stopped. Thread-safe; the methods block until
 * they are done and must not be called from the node's own threads.
 *
 * <pre>{@code
 * Node node = Node.start(settings);
 * try {
 *     callers.connectTo(node.settings().listenAddress());
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
     * Starts a node and waits until it takes connections. Raises the failure of the first role that did not start,
     * after it has stopped those that had.
     *
     * @param settings checked settings; a port of zero stands for any free port
     */
    public static Node start(NodeSettings settings) {
        NodeKernel kernel = new NodeKernel(settings);
        kernel.start();
        return new Node(kernel);
    }

    /** Returns the settings in force, with the ports that the node listens on. */
    public NodeSettings settings() {
        return kernel.settings();
    }

    /** Takes no new requests and finishes those under way, for at most the drain time of the settings. */
    public void drain() {
        kernel.drain();
    }

    /** Releases everything that the node holds. Cuts off what is under way unless {@link #drain} came first. */
    public void stop() {
        kernel.stop();
    }

    /** Waits until another thread has stopped the node. */
    public void awaitStop() {
        kernel.awaitStop();
    }
}
