package org.poplarwharf.internal.holder;

import java.util.function.BooleanSupplier;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Calls the dispatchers of a holder periodically, and more often while requests wait or loads are in progress.
 *
 * <p>Invariant: at most one call is scheduled. Confined to the event loop.
 */
final class DispatchTicker {
    /** Interval while requests wait for a load; short enough that callers do not notice the delay. */
    private static final long BUSY_INTERVAL_MILLIS = 20;

    private static final long IDLE_INTERVAL_MILLIS = 250;

    private final TopicFollower.Timer timer;
    private final BooleanSupplier isActive;
    private final BooleanSupplier tick;
    private boolean running;
    private boolean busy;
    private long scheduledNumber;

    /**
     * Creates a ticker that is not started.
     *
     * @param isActive whether this node still decides; the ticker stops if not
     * @param tick advances the dispatchers and returns whether they have pending work
     */
    DispatchTicker(TopicFollower.Timer timer, BooleanSupplier isActive, BooleanSupplier tick) {
        this.timer = timer;
        this.isActive = isActive;
        this.tick = tick;
    }

    void start() {
        if (!running) {
            running = true;
            run();
        }
    }

    /** Makes the next call come soon, after work has been added. */
    void workAdded() {
        if (running && !busy) {
            schedule(true);
        }
    }

    private void run() {
        if (!isActive.getAsBoolean()) {
            running = false;
            return;
        }
        boolean hasWork = false;
        try {
            hasWork = tick.getAsBoolean();
        } finally {
            schedule(hasWork);
        }
    }

    private void schedule(boolean hasWork) {
        busy = hasWork;
        long number = ++scheduledNumber;
        timer.schedule(hasWork ? BUSY_INTERVAL_MILLIS : IDLE_INTERVAL_MILLIS, () -> {
            if (number == scheduledNumber) {
                run();
            }
        });
    }
}
