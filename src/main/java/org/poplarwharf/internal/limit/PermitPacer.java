package org.poplarwharf.internal.limit;

/**
 * Paces permits at a rate, by the generic cell rate algorithm.
 *
 * <p>Invariant: within any time {@code t}, no more than {@code rate x (t + 1 s) + 1} permits are taken. A new pacer has no
 * unused permits saved. Confined to one thread; the current time is passed with each call.
 */
final class PermitPacer {
    /** The time in which unused permits are saved, so that short bursts don't lower the rate that can be used. */
    private static final double BURST_MILLIS = 1_000;

    /**
     * The pace at which a target that names a lower limit still gets requests, because only a response can end the
     * limit.
     */
    private static final double MIN_PERMITS_PER_SECOND = 0.1;

    private double intervalMillis;

    /** The time from which a permit is due if none is saved. */
    private double dueMillis;

    PermitPacer(double requestsPerSecondLimit, long nowMillis) {
        intervalMillis = intervalMillis(requestsPerSecondLimit);
        restart(nowMillis);
    }

    /** Changes the limit. Saved permits are kept. */
    void setLimit(double requestsPerSecondLimit, long nowMillis) {
        intervalMillis = intervalMillis(requestsPerSecondLimit);
        dueMillis = Math.min(dueMillis, nowMillis + BURST_MILLIS + intervalMillis);
    }

    /** Drops saved permits, because it is not known how many were taken elsewhere. */
    void restart(long nowMillis) {
        dueMillis = nowMillis + BURST_MILLIS + intervalMillis;
    }

    /** Returns the time until the next permit; zero if one can be taken now. */
    long waitMillis(long nowMillis) {
        return (long) Math.ceil(Math.max(0, dueMillis - BURST_MILLIS - nowMillis));
    }

    /** Takes a permit; to be called only without a wait. */
    void take(long nowMillis) {
        dueMillis = Math.max(dueMillis, nowMillis) + intervalMillis;
    }

    private static double intervalMillis(double requestsPerSecondLimit) {
        return 1_000 / permitsPerSecond(requestsPerSecondLimit);
    }

    /** Returns the rate of permits at a limit. */
    static double permitsPerSecond(double requestsPerSecondLimit) {
        return Math.max(MIN_PERMITS_PER_SECOND, requestsPerSecondLimit);
    }
}
