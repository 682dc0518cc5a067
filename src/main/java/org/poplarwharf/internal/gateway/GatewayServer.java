package org.poplarwharf.internal.gateway;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.poplarwharf.internal.crash.CrashDetector;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.http.ConnectionObserver;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.stream.StreamOrigins;

/**
 * The caller-facing side of a node: the proxy server and the readiness endpoint.
 *
 * <p>Invariant: a node is ready only while it has a plan and the list of targets and is not draining. Confined to the
 * event loop, except for its construction.
 */
public final class GatewayServer {
    private final GatewayContext context;
    private final ProxyServer server;
    private final ReadinessServer readinessServer;
    private boolean wasReady;

    public GatewayServer(
            GatewaySettings settings,
            HeaderCodec headerCodec,
            EventLoop loop,
            DecisionLog log,
            GatewayMetrics metrics,
            FleetView view,
            MonotonicClock clock,
            CrashHistory crashHistory,
            CrashDetector crashDetector,
            Supplier<byte[]> metricsText) {
        this.context =
                new GatewayContext(settings, headerCodec, loop, log, metrics, view, clock, crashHistory, crashDetector);
        this.server = new ProxyServer(context);
        this.readinessServer = new ReadinessServer(context.protection(), this::isReady, metricsText);
        metrics.registerGauge("log_lines_dropped", log::droppedLineCount);
        view.onRemoval(target -> context.connections().closeIdle(target.id()));
        view.onRemoval(crashDetector::targetRemoved);
    }

    /** Sets the selector that asks the lease holder, for targets that run engines and for those that name a limit. */
    public void setHolderSelector(TargetSelector holderSelector, TargetLimits limits, StreamOrigins origins) {
        context.view().onRemoval(target -> limits.remove(target.id()));
        context.view().onRemoval(target -> origins.recordGone(target.service(), target.softwareVersion()));
        context.setSelectors(
                new LowestCostTargetSelector(context.view(), context::nowMillis, limits, holderSelector),
                holderSelector,
                limits,
                origins);
    }

    /** Sets the gate that admits the requests of client accounts within their quotas. */
    public void setQuotaGate(QuotaGate gate) {
        context.setQuotaGate(gate);
    }

    /** Returns what other nodes have stated of the keys in force. */
    public KeysInForce keysInForce() {
        return context.keysInForce();
    }

    /** Listens for readiness checks and metrics requests. */
    public ChannelFuture listenForReadiness(EventLoopGroup group) {
        return readinessServer.listen(group, context.settings().readinessAddress());
    }

    /** Listens for callers. */
    public ChannelFuture listen(EventLoopGroup group) {
        return server.listen(group, context.settings().callerAddress(), false);
    }

    /** Listens for requests of nodes that reach no target, if there is an address for that. */
    public Optional<ChannelFuture> listenForPeers(EventLoopGroup group) {
        return context.settings().peerRequestAddress().map(address -> server.listen(group, address, true));
    }

    /** Returns whether this node reaches no target, as far as it knows. */
    public boolean isCutOff() {
        return context.reachabilityWatch().reachability().isCutOff();
    }

    /** Returns what determines from calls to targets whether this node reaches any. */
    public ConnectionObserver targetObserver() {
        return context.reachabilityWatch().reachability();
    }

    /** Registers a listener that is told whether this node reaches no target, each time that this changes. */
    public void onCutOffChange(Consumer<Boolean> listener) {
        context.reachabilityWatch().onChange(listener);
    }

    /** Replaces the nodes that take requests of this one while it reaches no target. */
    public void replacePeers(List<PeerNode> peers) {
        context.peers().replaceAll(peers);
    }

    /**
     * Records the number of nodes that share the retry budget and brittle targets, and the position of this node among them, as
     * the lease holder reports it.
     */
    public void recordNodes(int count, Optional<Integer> position) {
        context.retryBudget().recordNodeCount(count, context.nowMillis());
        context.statements().recordNodes(count, position);
    }

    /** Applies changed settings. */
    public void reload(GatewaySettings latest) {
        boolean changed = !latest.equals(context.settings());
        context.log().log("settings-reloaded", "changed", changed);
        context.reload(latest);
    }

    /**
     * Drains the node. Runs the action when no request is in flight or the grace period is nearly over.
     *
     * @param signalledMillis when the node was told to stop, on its clock
     */
    public void drain(long signalledMillis, Runnable onDrained) {
        long graceLeftMillis = context.settings().shutdownGraceMillis() - (context.nowMillis() - signalledMillis);
        new GracefulDrain(server, context::schedule, context.log(), graceLeftMillis)
                .start(context::nowMillis, onDrained);
    }

    private boolean isReady() {
        boolean ready = context.view().isComplete() && !server.isDraining();
        if (ready != wasReady) {
            context.log().log(ready ? "node-ready" : "node-not-ready", "planVersion", context.planVersion());
            wasReady = ready;
        }
        return ready;
    }
}
