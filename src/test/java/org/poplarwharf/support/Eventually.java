package org.poplarwharf.support;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Polls a condition until it holds, for at most 20 seconds. Stateless and thread-safe.
 */
public final class Eventually {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(5);

    private Eventually() {}

    public static void eventually(String description, BooleanSupplier condition) {
        eventually(description, () -> "", condition);
    }

    /** Polls a condition; the trace is read and added to the message if the condition does not hold in time. */
    public static void eventually(String description, Supplier<String> trace, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("timed out waiting until: " + description + trace.get());
            }
            LockSupport.parkNanos(POLL_INTERVAL.toNanos());
        }
    }
}
