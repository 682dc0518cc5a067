package org.poplarwharf.internal.cell;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;

/**
 * Orders nodes for a cell by rendezvous hashing, so that leases spread over the nodes and challengers seldom collide.
 *
 * <p>Stateless and thread-safe.
 */
final class RendezvousRank {
    private RendezvousRank() {}

    /** Returns how many of the other nodes come before this one for the cell. */
    static int of(String cell, String nodeId, Collection<String> nodeIds) {
        long own = weight(cell, nodeId);
        int rank = 0;
        for (String other : nodeIds) {
            if (other.equals(nodeId)) {
                continue;
            }
            if (Long.compareUnsigned(weight(cell, other), own) > 0) {
                rank++;
            }
        }
        return rank;
    }

    static long weight(String cell, String nodeId) {
        return Hashing.komihash5_0().hashCharsToLong(cell + '\n' + nodeId);
    }
}
