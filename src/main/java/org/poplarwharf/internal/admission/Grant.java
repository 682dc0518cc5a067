package org.poplarwharf.internal.admission;

/**
 * A place on a replica, held until it is given back, its node is lost, or it expires. Immutable and thread-safe.
 *
 * @param grantId unique
 * @param address where the target is reached
 * @param priority the priority to hand to the engine
 * @param coldStart whether the request had to wait for a load
 */
public record Grant(String grantId, String target, String address, int priority, boolean coldStart) {}
