package org.poplarwharf.internal.cli;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Shuts down a command that runs until its process receives a shutdown signal, usually SIGTERM or SIGINT. Registered before
 * the command starts; without a hook, such a signal ends the process in the middle of what it has begun.
 *
 * <p>Invariant: the action runs once, if at all, also for a signal that arrives before there is an action. Thread-safe.
 */
final class ShutdownHook {
    /** How long a command that was told to stop may take until it has started. */
    private static final long MAX_START_MILLIS = 5_000;

    private final CompletableFuture<Optional<IntSupplier>> action = new CompletableFuture<>();
    private volatile OptionalLong signalledNanos = OptionalLong.empty();

    private ShutdownHook() {}

    /** Registers a hook that waits for its action. */
    static ShutdownHook register() {
        ShutdownHook hook = new ShutdownHook();
        Runtime.getRuntime().addShutdownHook(new Thread(hook::run, "shutdown"));
        return hook;
    }

    /** Returns whether the process was told to stop. */
    boolean isRequested() {
        return signalledNanos.isPresent();
    }

    /** Returns how many milliseconds ago the process was told to stop; zero if it was not. */
    long millisSinceSignal() {
        OptionalLong nanos = signalledNanos;
        return nanos.isEmpty() ? 0 : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos.getAsLong());
    }

    /** Sets what a signal does; its result is the exit code. */
    void setAction(IntSupplier shutDown) {
        action.complete(Optional.of(shutDown));
    }

    /** Sets that there is nothing to shut down, unless there is an action. */
    void withdraw() {
        action.complete(Optional.empty());
    }

    private void run() {
        signalledNanos = OptionalLong.of(System.nanoTime());
        action.completeOnTimeout(Optional.empty(), MAX_START_MILLIS, TimeUnit.MILLISECONDS)
                .join()
                .ifPresent(shutDown -> Runtime.getRuntime().halt(shutDown.getAsInt()));
    }
}
