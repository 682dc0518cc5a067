package org.poplarwharf.internal.lease;

/**
 * What stands on the log of a lease. Immutable and thread-safe.
 *
 * @param incarnation the start of the holder's process
 * @param address where the holder takes other nodes' connections
 * @param fencingNumber rises with each claim
 * @param resigned whether the holder has stood down and gives no more orders
 */
public record LeaseRecord(String holder, String incarnation, String address, long fencingNumber, boolean resigned) {}
