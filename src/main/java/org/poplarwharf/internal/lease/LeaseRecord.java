package org.poplarwharf.internal.lease;

/**
 * What stands on the log of a lease. Immutable and thread-safe.
 *
 * @param incarnation the start of the holder's process
 * @param address where the holder takes other nodes' connections
 * @param fencingNumber rises with each claim
 * @param quietMillis how long, from this record on, its author gives no orders since the holder before might
 * @param resigned whether the holder has stood down and gives no more orders
 */
public record LeaseRecord(
        String holder, String incarnation, String address, long fencingNumber, long quietMillis, boolean resigned) {}
