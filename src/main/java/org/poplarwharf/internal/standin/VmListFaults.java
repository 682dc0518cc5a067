package org.poplarwharf.internal.standin;

/**
 * Faults of the VM list stand-in. Immutable and thread-safe.
 *
 * @param outage lists are answered with 503
 * @param lagMillis how long a change stays invisible
 */
public record VmListFaults(boolean outage, long lagMillis) {}
