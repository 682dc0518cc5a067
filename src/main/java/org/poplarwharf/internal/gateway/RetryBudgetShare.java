package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import org.poplarwharf.internal.dispatch.SlidingWindowCounter;

/**
 * This node's share of the retries that all nodes together may make to a service.
 *
 * <p>Invariant: in any window, retries stay below the retry ratio times this node's own requests plus an even share of
 * the minimum retry count, so that the sum over all nodes stays below the total limit. Until the number of nodes is
 * known, only the ratio counts. In the first window after the start, only the rest of the share is used that an earlier
 * process of this node has left. Confined to one thread.
 */
final class RetryBudgetShare {
    /** Only this part of the share is used, because nodes may disagree about the number of nodes. */
    private static final double SAFETY_RATIO = 0.7;

    /** Nodes that are cut off from the holder keep their share, so the others' shares must not grow meanwhile. */
    private static final int NODE_COUNT_HOLD_WINDOWS = 3;

    private double ratio;
    private int minRetryCount;
    private long windowMillis;
    private final long startedMillis;
    private final Map<String, Window> byService = new HashMap<>();
    private final NodeCountEstimate nodeCount = new NodeCountEstimate();

    /** The retries of this node in the current window, and the limit that its share of the budget sets. */
    record Usage(int retryCount, double allowedCount, int nodeCount) {}

    private static final class Window {
        private final SlidingWindowCounter requests = new SlidingWindowCounter();
        private final SlidingWindowCounter retries = new SlidingWindowCounter();
    }

    RetryBudgetShare(double ratio, int minRetryCount, long windowMillis, long startedMillis) {
        this.startedMillis = startedMillis;
        setLimits(ratio, minRetryCount, windowMillis);
    }

    /** Replaces the limits that all nodes share. */
    void setLimits(double newRatio, int newMinRetryCount, long newWindowMillis) {
        ratio = newRatio;
        minRetryCount = newMinRetryCount;
        windowMillis = newWindowMillis;
    }

    /** Records the number of nodes that share the minimum retry count, as the lease holder reports it. */
    void recordNodeCount(int count, long nowMillis) {
        nodeCount.recordReport(count, nowMillis, NODE_COUNT_HOLD_WINDOWS * windowMillis);
    }

    /** Records a first request from a caller for the service. */
    void recordRequest(String service, long nowMillis) {
        window(service).requests.add(nowMillis, windowMillis);
    }

    /** Takes one retry from the budget, or returns false if the budget is exhausted. */
    boolean tryAcquire(String service, long nowMillis) {
        if (!hasRetryLeft(service, nowMillis)) {
            return false;
        }
        window(service).retries.add(nowMillis, windowMillis);
        return true;
    }

    /** Returns whether the budget has a retry left. */
    boolean hasRetryLeft(String service, long nowMillis) {
        Usage usage = usage(service, nowMillis);
        return usage.retryCount() + 1 <= usage.allowedCount();
    }

    /** Returns the use of this node's share in the window that ends now. */
    Usage usage(String service, long nowMillis) {
        Window window = window(service);
        double allowedCount =
                SAFETY_RATIO * ratio * window.requests.count(nowMillis, windowMillis) + minRetryShare(nowMillis);
        return new Usage(window.retries.count(nowMillis, windowMillis), allowedCount, nodeCount.count());
    }

    private double minRetryShare(long nowMillis) {
        if (nodeCount.count() == 0) {
            return 0;
        }
        double usedRatio = nowMillis - startedMillis >= windowMillis ? SAFETY_RATIO : 1 - SAFETY_RATIO;
        return usedRatio * Math.max(1, (double) minRetryCount / nodeCount.count());
    }

    private Window window(String service) {
        return byService.computeIfAbsent(service, key -> new Window());
    }
}
