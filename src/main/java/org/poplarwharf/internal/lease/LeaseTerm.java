package org.poplarwharf.internal.lease;

/**
 * A term of the lease, counted from when this node sent the claim or the renewal that began it. Immutable and thread-safe.
 *
 * @param startSteadyMillis when it began, by the monotonic clock
 * @param startWallMillis when it began, by the wall clock
 */
record LeaseTerm(long startSteadyMillis, long startWallMillis) {
    static final LeaseTerm EXPIRED = new LeaseTerm(Long.MIN_VALUE / 2, Long.MIN_VALUE / 2);

    static LeaseTerm startingNow(LeaseClocks clocks) {
        return new LeaseTerm(clocks.steadyMillis(), clocks.wallMillis());
    }

    /** Returns whether the term has expired on neither clock, since the monotonic clock of a suspended VM stands still. */
    boolean isValid(LeaseClocks clocks, long termMillis) {
        return clocks.steadyMillis() - startSteadyMillis < termMillis
                && clocks.wallMillis() - startWallMillis < termMillis;
    }
}
