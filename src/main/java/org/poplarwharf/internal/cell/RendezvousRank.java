package org.poplarwharf.internal.cell;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;

/**
 * Ranks nodes for a cell by rendezvous hashing, so that leases spread over the nodes and challengers rarely collide.
 *
 * <p>Stateless and thread-safe.
 */
final class RendezvousRank {
    private RendezvousRank() {}

    /** Returns the number of other nodes that rank before this one for the cell. */
    static int rankOf(String cell, String nodeId, Collection<String> nodeIds) {
        long ownWeight = weight(cell, nodeId);
        int rank = 0;
        for (String other : nodeIds) {
            if (other.equals(nodeId)) {
                continue;
            }
            if (Long.compareUnsigned(weight(cell, other), ownWeight) > 0) {
                rank++;
            }
        }
        return rank;
    }

    static long weight(String cell, String nodeId) {
        return Hashing.komihash5_0().hashCharsToLong(cell + '\n' + nodeId);
    }
}
