package org.poplarwharf.internal.kernel;

import java.util.function.LongSupplier;

/**
 * Tells whether this process has just been suspended, so that messages which it reads now may be seconds old. Compares the
 * times of a periodic task, by the steady clock and by the time of day, because a suspended VM's steady clock may stand
 * still.
 *
 * <p>Confined to the thread of the periodic task.
 */
public final class PauseDetector {
    private final LongSupplier steadyMillis;
    private final LongSupplier wallMillis;
    private final long maxGapMillis;
    private long lastSteadyMillis;
    private long lastWallMillis;
    private long pauseEndedMillis = Long.MIN_VALUE / 2;

    /** Creates a detector of pauses that are longer than the given time. */
    public PauseDetector(LongSupplier steadyMillis, LongSupplier wallMillis, long maxGapMillis) {
        this.steadyMillis = steadyMillis;
        this.wallMillis = wallMillis;
        this.maxGapMillis = maxGapMillis;
        recordTurn();
    }

    /** Records a turn of the periodic task. */
    public void recordTurn() {
        if (hasGap()) {
            pauseEndedMillis = steadyMillis.getAsLong();
        }
        lastSteadyMillis = steadyMillis.getAsLong();
        lastWallMillis = wallMillis.getAsLong();
    }

    /** Returns whether the process is in its first turn after a pause, or was paused until a short time ago. */
    public boolean hasJustPaused() {
        return hasGap() || steadyMillis.getAsLong() - pauseEndedMillis < maxGapMillis;
    }

    private boolean hasGap() {
        return steadyMillis.getAsLong() - lastSteadyMillis > maxGapMillis
                || wallMillis.getAsLong() - lastWallMillis > maxGapMillis;
    }
}
