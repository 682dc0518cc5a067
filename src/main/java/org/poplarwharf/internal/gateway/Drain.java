package org.poplarwharf.internal.gateway;

import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Ends a node in order: it says at once that it takes no callers, goes on taking those that still come, then closes idle
 * connections and waits for what is under way.
 *
 * <p>Confined to the event loop.
 */
final class Drain {
    /** Callers come until the balancer has asked twice, once a second: a little less than a third of the usual grace. */
    private static final double CALLERS_STILL_COME_SHARE = 0.3;

    private static final long LOOK_MILLIS = 50;

    /** Left before the process would be killed. */
    private static final long KILL_MARGIN_MILLIS = 400;

    private final FrontServer front;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private final long graceMillis;

    Drain(FrontServer front, TopicFollower.Timer timer, DecisionLog log, long graceMillis) {
        this.front = front;
        this.timer = timer;
        this.log = log;
        this.graceMillis = graceMillis;
    }

    /** Begins; runs the action once nothing is under way, or the time is over. */
    void begin(MonotonicClock clock, Runnable ended) {
        long startMillis = clock.nowMillis();
        log.log("node-draining", "underWay", front.underWay());
        front.startDraining();
        timer.after(Math.round(graceMillis * CALLERS_STILL_COME_SHARE), () -> {
            front.closeIdle();
            look(startMillis, clock, ended);
        });
    }

    private void look(long startMillis, MonotonicClock clock, Runnable ended) {
        int underWay = front.underWay();
        boolean over = clock.nowMillis() - startMillis > graceMillis - KILL_MARGIN_MILLIS;
        if (underWay == 0 || over) {
            log.log("node-drained", "underWay", underWay);
            ended.run();
            return;
        }
        timer.after(LOOK_MILLIS, () -> look(startMillis, clock, ended));
    }
}
