package org.poplarwharf.internal.cli;

import java.util.Optional;
import org.jline.utils.Signals;

/**
 * Receives the signal to reload the settings, SIGHUP, from before they are first read. Without a handler, that signal ends
 * the process.
 *
 * <p>Invariant: a signal that arrives before there is an action runs the action as soon as there is one. Thread-safe.
 */
final class ReloadSignal {
    private Optional<Runnable> action = Optional.empty();
    private boolean pending;

    private ReloadSignal() {}

    /** Registers the handler of the signal. */
    static ReloadSignal register() {
        ReloadSignal signal = new ReloadSignal();
        Signals.register("HUP", signal::receive);
        return signal;
    }

    /** Sets what a signal does, and does it now if a signal has arrived already. */
    void setAction(Runnable reload) {
        boolean wasPending;
        synchronized (this) {
            action = Optional.of(reload);
            wasPending = pending;
        }
        if (wasPending) {
            reload.run();
        }
    }

    private void receive() {
        Optional<Runnable> current;
        synchronized (this) {
            current = action;
            pending = action.isEmpty();
        }
        current.ifPresent(Runnable::run);
    }
}
