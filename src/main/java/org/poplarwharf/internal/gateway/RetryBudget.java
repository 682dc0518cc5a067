package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import org.poplarwharf.internal.dispatch.SlidingWindowCounter;

/**
 * This node's part of the second sends that all nodes together may make to a service.
 *
 * <p>Invariant: over any window, second sends stay below the ratio of this node's own requests plus an even part of the
 * slack, so that the sum over all nodes stays below the whole. Confined to one thread.
 */
final class RetryBudget {
    /** Kept back for nodes that count more peers than there are, or fewer. */
    private static final double SAFETY = 0.7;

    private double ratio;
    private int slack;
    private long windowMillis;
    private final Map<String, Window> byService = new HashMap<>();
    private int nodes;

    private static final class Window {
        private final SlidingWindowCounter firsts = new SlidingWindowCounter();
        private final SlidingWindowCounter seconds = new SlidingWindowCounter();
    }

    RetryBudget(double ratio, int slack, long windowMillis, int nodes) {
        this.nodes = nodes;
        limits(ratio, slack, windowMillis);
    }

    /** Replaces what all nodes together may make. */
    void limits(double perRequest, int besides, long overMillis) {
        ratio = perRequest;
        slack = besides;
        windowMillis = overMillis;
    }

    /** Says among how many nodes the slack is shared. */
    void nodes(int count) {
        nodes = Math.max(1, count);
    }

    /** A request of a caller for the service. */
    void requested(String service, long nowMillis) {
        window(service).firsts.add(nowMillis, windowMillis);
    }

    /** Takes one second send; false where that would be too many. */
    boolean take(String service, long nowMillis) {
        Window window = window(service);
        double allowed =
                SAFETY * (ratio * window.firsts.count(nowMillis, windowMillis) + Math.max(1, (double) slack / nodes));
        if (window.seconds.count(nowMillis, windowMillis) + 1 > allowed) {
            return false;
        }
        window.seconds.add(nowMillis, windowMillis);
        return true;
    }

    private Window window(String service) {
        return byService.computeIfAbsent(service, key -> new Window());
    }
}
