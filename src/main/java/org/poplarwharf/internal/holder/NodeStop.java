package org.poplarwharf.internal.holder;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * The end of a node: its drain, and then the last lines of its log.
 *
 * <p>Invariant: both end within the grace period that is set when {@link #run} is called, and counts from the signal. Thread-safe.
 */
final class NodeStop {
    /** Time for the last lines of the log, although the process may be killed meanwhile. */
    private static final long MIN_LOG_FLUSH_MILLIS = 200;

    /** Time before the process would be killed, at which it ends although lines of its log are not written. */
    private static final long LOG_FLUSH_MARGIN_MILLIS = 100;

    private final LongSupplier graceMillis;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final CountDownLatch stopped = new CountDownLatch(1);

    NodeStop(LongSupplier graceMillis, MonotonicClock clock, DecisionLog log) {
        this.graceMillis = graceMillis;
        this.clock = clock;
        this.log = log;
    }

    /** Drains a node. */
    interface Drain {
        /**
         * Starts to drain.
         *
         * @param signalledMillis when the node was told to stop
         * @param onDrained runs once nothing is left to be done
         */
        void start(long signalledMillis, Runnable onDrained);
    }

    /**
     * Drains the node and waits for that, and for its log.
     *
     * @param millisSinceSignal how long ago the process was told to stop
     */
    void run(long millisSinceSignal, Drain drain) {
        long signalledMillis = clock.nowMillis() - millisSinceSignal;
        long graceMillisNow = graceMillis.getAsLong();
        drain.start(signalledMillis, stopped::countDown);
        try {
            stopped.await(graceMillisNow - millisSinceSignal, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.log("node-stopped");
        long graceLeftMillis = graceMillisNow - (clock.nowMillis() - signalledMillis);
        log.flush(Math.max(MIN_LOG_FLUSH_MILLIS, graceLeftMillis - LOG_FLUSH_MARGIN_MILLIS));
        stopped.countDown();
    }

    /** Waits until the node has stopped. */
    void await() {
        try {
            stopped.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
