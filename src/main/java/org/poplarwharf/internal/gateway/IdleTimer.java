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

    IdleTimer(EventLoop loop, Runnable onIdle) {
        this.loop = loop;
        this.onIdle = onIdle;
    }

    void restart(long timeoutMillis) {
        cancel();
        timer = Optional.of(loop.schedule(onIdle, timeoutMillis, TimeUnit.MILLISECONDS));
    }

    void cancel() {
        timer.ifPresent(running -> running.cancel(false));
        timer = Optional.empty();
    }
}
