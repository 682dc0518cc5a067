package org.poplarwharf.internal.cli;

import java.util.function.IntSupplier;

/**
 * Ends a command that runs until its process is asked to end.
 *
 * <p>Stateless and thread-safe.
 */
final class ProcessEnd {
    private ProcessEnd() {}

    /** Runs the action when the process is asked to end, and exits with the code that it returns. */
    static void onSignal(IntSupplier finish) {
        Runnable end = () -> Runtime.getRuntime().halt(finish.getAsInt());
        Runtime.getRuntime().addShutdownHook(new Thread(end, "shutdown"));
    }
}
