package org.poplarwharf.internal.entry;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts requests whose answer has not begun. Thread-safe.
 */
final class DrainState {
    private final AtomicInteger waiting = new AtomicInteger();

    void entered() {
        waiting.incrementAndGet();
    }

    void left() {
        waiting.decrementAndGet();
    }

    boolean idle() {
        return waiting.get() == 0;
    }
}
