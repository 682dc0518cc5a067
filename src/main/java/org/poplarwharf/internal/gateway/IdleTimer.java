package org.poplarwharf.internal.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Runs an action when a connection has been idle for some time. Confined to the event loop. */
final class IdleTimer {
    private final EventLoop loop;
    private final Runnable onIdle;
    private Optional<Future<?>> timer = Optional.empty();
    private long idleSinceNanos;

    IdleTimer(EventLoop loop, Runnable onIdle) {
        this.loop = loop;
        this.onIdle = onIdle;
    }

    /** Starts to count anew, since the connection is idle from now on. */
    void restart(long timeoutMillis) {
        idleSinceNanos = System.nanoTime();
        schedule(timeoutMillis);
    }

    /** Runs the action once the connection has been idle for the given time, counted from the last start, or now if it has. */
    void limit(long timeoutMillis) {
        long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNanos);
        if (idleMillis < timeoutMillis) {
            schedule(timeoutMillis - idleMillis);
        } else {
            onIdle.run();
        }
    }

    private void schedule(long timeoutMillis) {
        cancel();
        timer = Optional.of(loop.schedule(onIdle, timeoutMillis, TimeUnit.MILLISECONDS));
    }

    void cancel() {
        timer.ifPresent(running -> running.cancel(false));
        timer = Optional.empty();
    }
}
