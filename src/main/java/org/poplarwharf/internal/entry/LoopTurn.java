package org.poplarwharf.internal.entry;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;

/**
 * Lets an event loop accept and read what has arrived, since the loop may run a task before that.
 *
 * <p>Stateless; {@link #next} is called from the thread of the loop.
 */
final class LoopTurn {
    private LoopTurn() {}

    /** Returns a promise that completes after a whole turn of the loop that began after this call. */
    static Promise<Void> next(Eventloop loop) {
        SettablePromise<Void> ended = new SettablePromise<>();
        // A turn handles all ready sockets, then tasks of other threads, and its own tasks last.
        loop.post(() -> loop.execute(() -> ended.set(null)));
        return ended;
    }
}
