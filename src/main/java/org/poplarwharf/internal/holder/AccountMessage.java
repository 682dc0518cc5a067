package org.poplarwharf.internal.holder;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Set;
import org.poplarwharf.internal.fleet.Quota;

/**
 * A message between a node and the lease holder about client accounts; sent only while the plan has accounts, since earlier
 * releases don't know such messages. Immutable and thread-safe.
 */
public sealed interface AccountMessage extends HolderMessage {
    /**
     * Asks the holder for units of an account's quota.
     *
     * @param number identifies the request among those of the node for the account
     * @param minUnits the units that the first waiting request uses; fewer are of no use
     * @param wantedUnits the units that all waiting requests use, and some for the next ones
     * @param perSecond the rate of the quota by the plan of the node
     * @param burst the burst of the same quota
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record QuotaRequest(
            String account, long number, double minUnits, double wantedUnits, double perSecond, double burst)
            implements AccountMessage {
        /** Returns the stated quota. The sender has translated requests to units, so the unit has no meaning here. */
        Quota quota() {
            return new Quota(Quota.Unit.REQUESTS, perSecond, burst, 1);
        }
    }

    /**
     * Hands out units to a node.
     *
     * @param units zero if the account has used up its quota
     * @param availableMillis when units are available, if none are handed out and nobody else asks before
     * @param retryAfterMillis when callers should come back, if no units are handed out
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record QuotaGrant(String account, long number, double units, long availableMillis, long retryAfterMillis)
            implements AccountMessage {}

    /** Gives units back to the holder that the node has not used. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record QuotaReturn(String account, double units) implements AccountMessage {}

    /**
     * States the latest version of the plan of which the sender knows the keys. Nodes send it to the holder in response to
     * heartbeats, which also shows that they are connected; the holder sends it to a node that knows a later version.
     *
     * @param nodeCount the number of nodes that the sender knows of; zero if it doesn't know yet
     */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record PlanHeld(long version, int nodeCount) implements AccountMessage {}

    /** States the digests of all keys that the plan of the given version holds. */
    @JsonFormat(shape = JsonFormat.Shape.ARRAY)
    record KeysHeld(long version, Set<String> digests) implements AccountMessage {}
}
