package org.poplarwharf.internal.standin;

/**
 * Injected faults of the VM list stand-in. Immutable and thread-safe.
 *
 * @param outage whether requests for the list fail with status 503
 * @param lagMillis delay until a change of the list becomes visible
 */
public record VmListFaults(boolean outage, long lagMillis) {}
