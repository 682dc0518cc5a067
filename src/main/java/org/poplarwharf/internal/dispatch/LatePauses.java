package org.poplarwharf.internal.dispatch;

/**
 * The share of a target's streams that lately had a pause between events above what their callers allow. Older ones count
 * less and less. Confined to one thread.
 */
final class LatePauses {
    /** A few streams' time: the prompts that made pauses late have been prefilled then. */
    private static final double DECAY_MILLIS = 8_000;

    /** After fewer streams, the share is low whatever happened to them. */
    private static final double MIN_STREAM_COUNT = 5;

    /** Late pauses at a target that prefills less are due to something else. */
    private static final double MIN_RECENT_PREFILL_MILLIS = 200;

    private long runObjectiveMillis;
    private double streamCount;
    private double lateCount;
    private long updatedMillis;

    /** Adds a run that was placed at the target. */
    void addRun(EngineState.Run run) {
        runObjectiveMillis += objectiveMillis(run);
    }

    /** Removes a run that has ended, if there was one. */
    void removeRun(EngineState.Run run) {
        runObjectiveMillis -= run == null ? 0 : objectiveMillis(run);
    }

    /** Records that a run's response has begun. */
    void recordFirstEvent(EngineState.Run run, long nowMillis) {
        decay(nowMillis);
        streamCount += run.request().maxEventGapMillis() > 0 ? 1 : 0;
    }

    /** Records that a stream had its first late pause. */
    void recordLate(long nowMillis) {
        decay(nowMillis);
        lateCount++;
    }

    /**
     * Returns the expected harm if a request is placed here, in milliseconds of delay: to itself and, by its prefill, to
     * the streams that run here. A stream that is late by a pause counts as one that is late by all the time to its
     * objective.
     *
     * @param recentPrefillMillis the recent prefill, which caused the recent late pauses
     */
    double harmMillis(DispatchRequest request, double addedPrefillMillis, double recentPrefillMillis, long nowMillis) {
        double ownMillis = request.maxEventGapMillis() > 0 ? Math.max(0, request.objectiveMillis() - nowMillis) : 0;
        double othersMillis =
                runObjectiveMillis * addedPrefillMillis / Math.max(MIN_RECENT_PREFILL_MILLIS, recentPrefillMillis);
        return share(nowMillis) * (ownMillis + othersMillis);
    }

    private static long objectiveMillis(EngineState.Run run) {
        boolean isLimited = run.request().maxEventGapMillis() > 0;
        return isLimited ? Math.max(0, run.request().objectiveMillis() - run.grantedMillis()) : 0;
    }

    private double share(long nowMillis) {
        double remainingRatio = remainingRatio(nowMillis);
        return Math.min(1, lateCount * remainingRatio / Math.max(MIN_STREAM_COUNT, streamCount * remainingRatio));
    }

    private void decay(long nowMillis) {
        double remainingRatio = remainingRatio(nowMillis);
        streamCount *= remainingRatio;
        lateCount *= remainingRatio;
        updatedMillis = nowMillis;
    }

    private double remainingRatio(long nowMillis) {
        return Math.exp(-(nowMillis - updatedMillis) / DECAY_MILLIS);
    }
}
