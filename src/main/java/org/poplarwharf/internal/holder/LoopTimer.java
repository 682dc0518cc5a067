package org.poplarwharf.internal.holder;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Runs tasks on an event loop, now or later.
 *
 * <p>Invariant: an exception of a task is logged and ends that task only. Thread-safe.
 */
final class LoopTimer implements TopicFollower.Timer {
    private final EventLoop loop;
    private final DecisionLog log;

    LoopTimer(EventLoop loop, DecisionLog log) {
        this.loop = loop;
        this.log = log;
    }

    @Override
    public void schedule(long delayMillis, Runnable task) {
        if (delayMillis <= 0) {
            loop.execute(() -> runGuarded(task));
        } else {
            loop.schedule(() -> runGuarded(task), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void runGuarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.log(
                    "unexpected-exception",
                    "exception",
                    e,
                    "at",
                    e.getStackTrace().length == 0 ? "" : e.getStackTrace()[0]);
        }
    }
}
