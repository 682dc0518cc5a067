package org.poplarwharf.internal.kernel;

/**
 * Milliseconds that never go back; the origin is arbitrary. Thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {
    long nowMillis();

    /** Returns the clock of this process. */
    static MonotonicClock system() {
        return () -> System.nanoTime() / 1_000_000;
    }
}
