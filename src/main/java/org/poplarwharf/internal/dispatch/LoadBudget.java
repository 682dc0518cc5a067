package org.poplarwharf.internal.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bounds the loads from the weight store that begin within a sliding window, over all targets.
 *
 * <p>Invariant: within any window no more loads begin than the store's rate allows, for a budget that starts empty of
 * history: the first window also counts what another node may have ordered before. Confined to one thread.
 */
final class LoadBudget {
    private final double perSecond;
    private final long windowMillis;
    private final double factor;
    private final Deque<Long> begunMillis = new ArrayDeque<>();

    LoadBudget(double perSecond, long windowMillis, double factor) {
        this.perSecond = perSecond;
        this.windowMillis = windowMillis;
        this.factor = factor;
    }

    /** Tells whether a load may begin now and still leave the given number for others. */
    boolean allows(long nowMillis, int spare) {
        while (!begunMillis.isEmpty() && begunMillis.peekFirst() <= nowMillis - windowMillis) {
            begunMillis.removeFirst();
        }
        return begunMillis.size() + 1 + spare <= perSecond * windowMillis / 1_000 * factor;
    }

    void begin(long nowMillis) {
        begunMillis.addLast(nowMillis);
    }
}
