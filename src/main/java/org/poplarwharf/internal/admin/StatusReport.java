package org.poplarwharf.internal.admin;

import java.util.List;
import org.poplarwharf.internal.admission.AdmissionController;

/**
 * What the status path tells of a node and the cells that it follows. Immutable and thread-safe.
 *
 * @param configVersion the configuration in force on this node, -1 for none
 * @param peers nodes with a live link
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
     * Another node.
     *
     * @param configVersion the configuration in force there, -1 while it has told none
     */
    public record PeerStatus(String address, long configVersion) {}

    /**
     * A cell as this node knows it.
     *
     * @param holder the node that holds the lease, empty text for none
     * @param here whether that is this node
     * @param millisSinceLogAnswer how long ago the log last answered for this cell's stream
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
     * A replica's place on a target.
     *
     * @param fencing whether the target's engine refuses orders with an old fencing number
     */
    public record SlotStatus(
            String target,
            String artifact,
            String version,
            long sizeBytes,
            boolean fencing,
            String phase,
            List<OrderStatus> openOrders) {}

    /** An order that may still arrive at its target. */
    public record OrderStatus(String kind, long intentOffset, long epoch, String author) {}

    /** A fingerprint that was in flight at the death of targets. */
    public record SuspectStatus(String fingerprint, int deaths, boolean condemned) {}
}
