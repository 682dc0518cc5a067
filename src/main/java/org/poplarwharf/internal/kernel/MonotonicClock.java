package org.poplarwharf.internal.kernel;

/**
 * A clock whose time never decreases, in milliseconds since an arbitrary origin. Thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {
    long nowMillis();

    /** Returns a clock based on {@link System#nanoTime}. */
    static MonotonicClock system() {
        return () -> System.nanoTime() / 1_000_000;
    }
}
