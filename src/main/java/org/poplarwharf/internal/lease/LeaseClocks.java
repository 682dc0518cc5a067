package org.poplarwharf.internal.lease;

/** The monotonic clock and the wall clock. */
public interface LeaseClocks {
    long steadyMillis();

    long wallMillis();
}
