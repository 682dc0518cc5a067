package org.poplarwharf.internal.admin;

import java.util.List;
import org.poplarwharf.internal.admission.AdmissionController;

/**
 * The status of a node and of the cells that it follows, as the status path returns it. Immutable and thread-safe.
 *
 * @param configVersion the version of the current configuration on this node, -1 if it has none
 * @param peers nodes with an open peer connection
 */
public record StatusReport(
        String node,
        String zone,
        String phase,
        boolean ready,
        long configVersion,
        List<PeerStatus> peers,
        List<CellStatus> cells) {

    /**
     * The status of a connected peer.
     *
     * @param configVersion the version of the current configuration on the peer, -1 if it has not reported one
     */
    public record PeerStatus(String address, long configVersion) {}

    /**
     * The status of a cell as known to this node.
     *
     * @param holder the node that holds the lease, empty if there is none
     * @param here whether this node is the holder
     * @param millisSinceLogAnswer time since the log last responded for this cell's stream
     */
    public record CellStatus(
            String name,
            String holder,
            boolean here,
            long epoch,
            boolean caughtUp,
            long millisSinceLogAnswer,
            List<SlotStatus> slots,
            List<SuspectStatus> suspects,
            List<String> excludedTargets,
            int claims,
            List<AdmissionController.QueueStatus> queues) {}

    /**
     * The status of a slot: an artifact's replica on a target.
     *
     * @param fencing whether the target's engine rejects orders with an outdated fencing number
     */
    public record SlotStatus(
            String target,
            String artifact,
            String version,
            long sizeBytes,
            boolean fencing,
            String phase,
            List<OrderStatus> openOrders) {}

    /** An open order: it may still arrive at its target. */
    public record OrderStatus(String kind, long intentOffset, long epoch, String author) {}

    /** The fingerprint of a request that was in flight when targets died. */
    public record SuspectStatus(String fingerprint, int deaths, boolean condemned) {}
}
