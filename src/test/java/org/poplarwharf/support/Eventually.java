package org.poplarwharf.support;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/**
 * Polls for a condition with a bounded deadline. Stateless and thread-safe.
 */
public final class Eventually {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final Duration PAUSE = Duration.ofMillis(5);

    private Eventually() {}

    public static void eventually(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + LIMIT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not in time: " + what);
            }
            LockSupport.parkNanos(PAUSE.toNanos());
        }
    }
}
