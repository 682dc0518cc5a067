package org.poplarwharf.internal.dispatch;

/**
 * How long a target that broke off is left alone: twice as long each time in a row, up to a limit. Confined to one thread.
 */
public final class Suspicion {
    /** More would overflow; the limit is reached long before. */
    private static final int MAX_DOUBLINGS = 10;

    private final long firstMillis;
    private final long longestMillis;
    private int brokenInRow;
    private long untilMillis;

    public Suspicion(long firstMillis, long longestMillis) {
        this.firstMillis = firstMillis;
        this.longestMillis = longestMillis;
    }

    public void broke(long nowMillis) {
        untilMillis = nowMillis + Math.min(longestMillis, firstMillis << Math.min(brokenInRow, MAX_DOUBLINGS));
        brokenInRow++;
    }

    /** The target answered: the next break is the first in a row again. */
    public void answered() {
        brokenInRow = 0;
    }

    /** Returns for how much longer the target is left alone; zero where it isn't. */
    public long leftMillis(long nowMillis) {
        return Math.max(0, untilMillis - nowMillis);
    }
}
