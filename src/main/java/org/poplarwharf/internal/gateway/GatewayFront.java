package org.poplarwharf.internal.gateway;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.function.Supplier;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * The side of a node that callers see: where they connect, and whether it wants them to.
 *
 * <p>Invariant: a node is ready only while it knows a plan and the targets, and does not drain. Confined to the event
 * loop, but for its construction.
 */
public final class GatewayFront {
    private final GatewayParts parts;
    private final FrontServer server;
    private final ReadyServer questions;
    private boolean wasReady;

    public GatewayFront(
            GatewaySettings settings,
            HeaderNames headerNames,
            EventLoop loop,
            DecisionLog log,
            GatewayMetrics metrics,
            FleetView view,
            MonotonicClock clock,
            Supplier<byte[]> metricsText) {
        this.parts = new GatewayParts(settings, headerNames, loop, log, metrics, view, clock);
        this.server = new FrontServer(parts);
        this.questions = new ReadyServer(this::ready, metricsText);
        metrics.gauge("log_lines_dropped", log::dropped);
        view.onGone(target -> parts.connections().forget(target.id()));
    }

    /** Says who finds targets with engines. */
    public void enginePlaces(Places engines) {
        parts.places(new NearestPlaces(parts.view(), parts::nowMillis), engines);
    }

    /** Takes questions for readiness and metrics. */
    public ChannelFuture listenForQuestions(EventLoopGroup group) {
        return questions.listen(group, parts.settings().readyAddress());
    }

    /** Takes callers. */
    public ChannelFuture listen(EventLoopGroup group) {
        return server.listen(group, parts.settings().frontAddress());
    }

    /** Says how many nodes there are. */
    public void nodes(int count) {
        parts.retries().nodes(count);
    }

    /** Puts changed settings in force. */
    public void reload(GatewaySettings latest) {
        boolean changed = !latest.equals(parts.settings());
        parts.log().log("settings-reloaded", "changed", changed);
        parts.reload(latest);
    }

    /** Ends the taking of callers; runs the action when nothing is under way. */
    public void drain(Runnable ended) {
        Drain drain =
                new Drain(server, parts::after, parts.log(), parts.settings().graceMillis());
        drain.begin(parts::nowMillis, ended);
    }

    private boolean ready() {
        boolean ready = parts.view().complete() && !server.draining();
        if (ready != wasReady) {
            parts.log().log(ready ? "node-ready" : "node-not-ready", "planVersion", parts.planVersion());
            wasReady = ready;
        }
        return ready;
    }
}
