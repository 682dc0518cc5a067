package org.poplarwharf.internal.gateway;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Lets the event loop read what has arrived on a connection, since the loop may run a task before it reads the connection.
 *
 * <p>Invariant: an action runs only after a turn of the loop that has read nothing from the connection, or has read enough.
 * Confined to the event loop.
 */
final class ReadTurn {
    private final EventLoop loop;
    private long readCount;
    private int awaitedCount;

    ReadTurn(EventLoop loop) {
        this.loop = loop;
    }

    /** Called when bytes of the connection have been read. */
    void onRead() {
        readCount++;
    }

    /** Returns whether an action waits for a turn. */
    boolean isAwaited() {
        return awaitedCount > 0;
    }

    /** Runs the action after a turn in which nothing was read, or after which the condition holds. */
    void await(BooleanSupplier hasReadEnough, Runnable action) {
        awaitedCount++;
        // The loop takes the timers that are due after it has read all connections. The first timer may be taken in the
        // present turn, whose reads may be over, so the second one marks the end of a whole turn.
        scheduleNow(() -> {
            long countBefore = readCount;
            scheduleNow(() -> {
                awaitedCount--;
                if (readCount == countBefore || hasReadEnough.getAsBoolean()) {
                    action.run();
                } else {
                    await(hasReadEnough, action);
                }
            });
        });
    }

    private void scheduleNow(Runnable task) {
        loop.schedule(task, 0, TimeUnit.MILLISECONDS);
    }
}
