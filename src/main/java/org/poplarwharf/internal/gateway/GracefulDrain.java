package org.poplarwharf.internal.gateway;

import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Shuts a node down gracefully. The node immediately reports itself as not ready, but keeps accepting connections until
 * the load balancer has noticed. It then stops accepting, closes idle connections and waits for requests in flight and for
 * connections that close after their last response. Requests that it would not run to their end are refused; those that
 * are still in flight shortly before the grace period is over get a response without a result.
 *
 * <p>Confined to the event loop.
 */
final class GracefulDrain {
    /**
     * The share of the grace period during which the node still accepts connections. New callers arrive until the load
     * balancer has polled readiness twice, once a second, which is a little less than a third of the usual grace
     * period.
     */
    private static final double ACCEPTING_GRACE_RATIO = 0.3;

    private static final long POLL_INTERVAL_MILLIS = 50;

    /** Time for the event loop to read what has arrived before. */
    private static final long READ_MILLIS = 50;

    /** Time before the process would be killed, at which requests in flight are ended. */
    private static final long END_MARGIN_MILLIS = 400;

    /** Time reserved before the process would be killed. */
    private static final long KILL_MARGIN_MILLIS = 200;

    private final ProxyServer server;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;
    private final long graceMillis;
    private boolean drained;

    GracefulDrain(ProxyServer server, TopicFollower.Timer timer, DecisionLog log, long graceMillis) {
        this.server = server;
        this.timer = timer;
        this.log = log;
        this.graceMillis = graceMillis;
    }

    /** Starts the drain. Runs the action when all is done or the grace period is nearly over. */
    void start(MonotonicClock clock, Runnable onDrained) {
        long startMillis = clock.nowMillis();
        log.log("node-draining", "underWay", server.inFlightCount());
        long acceptingMillis = Math.round(graceMillis * ACCEPTING_GRACE_RATIO);
        server.beginGracePeriod(startMillis + acceptingMillis, startMillis + graceMillis - END_MARGIN_MILLIS);
        server.startDraining();
        refuseLateRequests();
        // An event loop that is behind has connections to accept and then their requests to read. It does one of the
        // two between two timers.
        timer.schedule(
                acceptingMillis,
                () -> timer.schedule(READ_MILLIS, () -> {
                    server.stopAccepting();
                    timer.schedule(READ_MILLIS, () -> {
                        server.closeIdle();
                        pollInFlight(startMillis, clock, onDrained);
                    });
                }));
    }

    /** Refuses requests that wait for a target as soon as this node would end before them. */
    private void refuseLateRequests() {
        if (!drained) {
            server.refuseLateRequests();
            timer.schedule(POLL_INTERVAL_MILLIS, this::refuseLateRequests);
        }
    }

    private void pollInFlight(long startMillis, MonotonicClock clock, Runnable onDrained) {
        int inFlight = server.inFlightCount();
        long graceLeftMillis = graceMillis - (clock.nowMillis() - startMillis);
        // The end of the process would reset a connection on which more arrives, and its caller lose the last response.
        boolean isDone = inFlight == 0 && !server.hasConnections();
        if (isDone || server.isEnding() && graceLeftMillis < KILL_MARGIN_MILLIS) {
            drained = true;
            log.log("node-drained", "underWay", inFlight);
            onDrained.run();
            return;
        }
        if (graceLeftMillis < END_MARGIN_MILLIS && !server.isEnding()) {
            log.log("requests-ended", "underWay", inFlight);
            server.endExchanges();
        }
        timer.schedule(POLL_INTERVAL_MILLIS, () -> pollInFlight(startMillis, clock, onDrained));
    }
}
