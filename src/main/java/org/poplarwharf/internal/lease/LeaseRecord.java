package org.poplarwharf.internal.lease;

/**
 * The record of a lease on the log. Immutable and thread-safe.
 *
 * @param holder the id of the holder's node
 * @param incarnation the id of the holder's process, which changes with each start
 * @param address where the holder accepts connections from other nodes
 * @param fencingNumber fencing token; increases with each claim
 * @param quietMillis how long after this record its author issues no orders, because the previous holder might still
 *     issue some
 * @param resigned whether the holder has given up the lease and issues no more orders
 */
public record LeaseRecord(
        String holder, String incarnation, String address, long fencingNumber, long quietMillis, boolean resigned) {}
