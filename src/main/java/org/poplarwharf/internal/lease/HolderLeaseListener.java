package org.poplarwharf.internal.lease;

/** Receives changes of a lease, and states what decides whether its node claims it. Called on the lease's event loop. */
public interface HolderLeaseListener {
    /** Called with a record in the topic of the lease that another writer has put there. May be called again for the same one. */
    default void recordUnusable(String key, byte[] value, String reason) {}

    /** Called when this node has acquired the lease. */
    void claimed(long fencingNumber);

    /** Called when the term has ended without a renewal and no other node is known to hold the lease. */
    void expired();

    /** Called when this node no longer holds the lease. */
    void lost(String reason);

    /** Called when the log shows that another node holds the lease. */
    void holderFound(LeaseRecord holder);

    /** Returns whether the holder responds to this node, so that the log need not be read. */
    boolean isHolderResponding();

    /** Returns whether this node reaches targets. One that reaches none leaves a free lease to other nodes for some time. */
    boolean reachesTargets();
}
