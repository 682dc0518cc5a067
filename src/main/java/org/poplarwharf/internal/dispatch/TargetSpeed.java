package org.poplarwharf.internal.dispatch;

import java.util.Arrays;

/**
 * How long a target takes, as the logarithm of the ratio of observed to expected times, with an uncertainty. The median of
 * the latest observations, so that single slow responses don't count; most of the latest few on one side of the rest show
 * a change, and what came before is forgotten.
 *
 * <p>Assumes tens of responses a second from a busy target, of which a part takes several times as long as the others.
 * Invariant: the uncertainty grows while there are no observations. Confined to one thread.
 */
final class TargetSpeed {
    private static final int MAX_COUNT = 31;

    /** The number of latest observations that are compared with those before. */
    private static final int RECENT_COUNT = 7;

    /** The number of these that lie on one side of the earlier median after a change. */
    private static final int CHANGED_COUNT = 5;

    /** The least change to be noticed; a fifth is the accuracy that placement needs. */
    private static final double MIN_CHANGE_LOG = Math.log(1.2);

    /** The least standard deviation that is assumed, as few observations may agree by chance. */
    private static final double MIN_DEVIATION_LOG = 0.2;

    /** The ratio of the standard error of a median to that of a mean, for normally distributed values. */
    private static final double MEDIAN_ERROR_RATIO = 1.25;

    /** The ratio of the standard deviation to the median absolute deviation, for normally distributed values. */
    private static final double DEVIATION_RATIO = 1.48;

    /** The growth of the uncertainty; a target's hardware doesn't change within a minute, what else runs there may. */
    private static final double UNCERTAINTY_LOG_PER_MINUTE = 0.1;

    private static final double MILLIS_PER_MINUTE = 60_000;
    private static final double MAX_RATIO_LOG = Math.log(30);

    private final double[] latest = new double[MAX_COUNT];
    private int count;
    private long updatedMillis;
    private double medianLog;
    private double deviationLog;

    /** Adds the ratio of an observed to the expected time. */
    void record(double ratioLog, long nowMillis) {
        if (count == MAX_COUNT) {
            keepLatest(MAX_COUNT - 1);
        }
        latest[count++] = Math.clamp(ratioLog, -MAX_RATIO_LOG, MAX_RATIO_LOG);
        updatedMillis = nowMillis;
        if (hasChanged()) {
            keepLatest(RECENT_COUNT);
        }
        summarize();
    }

    /** Replaces the observations by the summary of another node's. */
    void restore(double summaryMedianLog, double summaryDeviationLog, int summaryCount, long nowMillis) {
        count = Math.clamp(summaryCount, 0, MAX_COUNT);
        // A third at each of three values: has the given median and deviation, and moves steadily with new
        // observations.
        int pairCount = Math.min(count / 2, (count + 2) / 3);
        for (int i = 0; i < count; i++) {
            double offsetLog = i >= 2 * pairCount ? 0 : i % 2 == 0 ? -summaryDeviationLog : summaryDeviationLog;
            latest[i] = summaryMedianLog + offsetLog;
        }
        updatedMillis = nowMillis;
        summarize();
    }

    int count() {
        return count;
    }

    /** Returns the logarithm of the ratio; zero without observations. */
    double ratioLog() {
        return medianLog;
    }

    /** Returns the median absolute deviation of the observations. */
    double deviationLog() {
        return deviationLog;
    }

    /** Returns the standard error of the logarithm of the ratio. */
    double uncertaintyLog(long nowMillis) {
        if (count == 0) {
            return MAX_RATIO_LOG;
        }
        double deviation = Math.max(MIN_DEVIATION_LOG, deviationLog * DEVIATION_RATIO);
        return MEDIAN_ERROR_RATIO * deviation / Math.sqrt(count)
                + Math.max(0, nowMillis - updatedMillis) / MILLIS_PER_MINUTE * UNCERTAINTY_LOG_PER_MINUTE;
    }

    private boolean hasChanged() {
        int earlierCount = count - RECENT_COUNT;
        if (earlierCount < RECENT_COUNT) {
            return false;
        }
        double earlierLog = median(Arrays.copyOf(latest, earlierCount));
        double minChangeLog = Math.max(MIN_CHANGE_LOG, deviationLog * DEVIATION_RATIO);
        int aboveCount = 0;
        int belowCount = 0;
        for (int i = earlierCount; i < count; i++) {
            aboveCount += latest[i] > earlierLog + minChangeLog ? 1 : 0;
            belowCount += latest[i] < earlierLog - minChangeLog ? 1 : 0;
        }
        return Math.max(aboveCount, belowCount) >= CHANGED_COUNT;
    }

    private void keepLatest(int keptCount) {
        System.arraycopy(latest, count - keptCount, latest, 0, keptCount);
        count = keptCount;
    }

    private void summarize() {
        double[] values = Arrays.copyOf(latest, count);
        medianLog = count == 0 ? 0 : median(values);
        for (int i = 0; i < count; i++) {
            values[i] = Math.abs(latest[i] - medianLog);
        }
        deviationLog = count == 0 ? 0 : median(values);
    }

    /** Returns the median, and sorts the values. */
    static double median(double[] values) {
        Arrays.sort(values);
        int middle = values.length / 2;
        return values.length % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    }
}
