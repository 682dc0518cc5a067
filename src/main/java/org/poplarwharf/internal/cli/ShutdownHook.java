package org.poplarwharf.internal.cli;

import java.util.function.IntSupplier;

/**
 * Shuts down a command that runs until its process receives a shutdown signal.
 *
 * <p>Stateless and thread-safe.
 */
final class ShutdownHook {
    private ShutdownHook() {}

    /** Registers an action that runs on JVM shutdown, usually after SIGTERM or SIGINT; its result is the exit code. */
    static void install(IntSupplier action) {
        Runnable shutdown = () -> Runtime.getRuntime().halt(action.getAsInt());
        Runtime.getRuntime().addShutdownHook(new Thread(shutdown, "shutdown"));
    }
}
