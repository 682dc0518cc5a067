package org.poplarwharf.internal.gateway;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.poplarwharf.internal.fleet.FleetPlan;
import org.poplarwharf.internal.http.TargetConnections;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;

/** What the exchanges of a node share. Confined to the event loop. */
final class GatewayParts {
    private GatewaySettings settings;
    private final HeaderNames headerNames;
    private final EventLoop loop;
    private final DecisionLog log;
    private final GatewayMetrics metrics;
    private final FleetView view;
    private final MonotonicClock clock;
    private final TargetConnections connections;
    private final RetryBudget retries;
    private final ForwardPolicy policy = new ForwardPolicy();
    private final String keyPrefix;
    private Places plain;
    private Places engines;
    private long keys;

    /** Nodes that share the retry budget until the holder has counted them; more than a small site has. */
    private static final int ASSUMED_NODES = 12;

    GatewayParts(
            GatewaySettings settings,
            HeaderNames headerNames,
            EventLoop loop,
            DecisionLog log,
            GatewayMetrics metrics,
            FleetView view,
            MonotonicClock clock) {
        this.settings = settings;
        this.headerNames = headerNames;
        this.loop = loop;
        this.log = log;
        this.metrics = metrics;
        this.view = view;
        this.clock = clock;
        this.connections = new TargetConnections(loop);
        this.retries = new RetryBudget(
                settings.retryRatio(), settings.retrySlack(), settings.retryWindowMillis(), ASSUMED_NODES);
        this.keyPrefix = settings.nodeId() + "-" + Long.toString(System.nanoTime(), Character.MAX_RADIX) + "-";
    }

    void reload(GatewaySettings latest) {
        settings = latest;
        retries.limits(latest.retryRatio(), latest.retrySlack(), latest.retryWindowMillis());
    }

    void places(Places forPlainServices, Places forEngines) {
        plain = forPlainServices;
        engines = forEngines;
    }

    Places placesFor(String service) {
        boolean engine = view.plan()
                .map(FleetPlan::services)
                .map(services -> services.get(service))
                .filter(spec -> spec.engine().isPresent())
                .isPresent();
        return engine ? engines : plain;
    }

    /** Returns a key that no other request of any node has. */
    String nextKey() {
        keys++;
        return keyPrefix + keys;
    }

    long nowMillis() {
        return clock.nowMillis();
    }

    Future<?> after(long delayMillis, Runnable task) {
        return loop.schedule(task, Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
    }

    long planVersion() {
        return view.plan().map(FleetPlan::version).orElse(0L);
    }

    GatewaySettings settings() {
        return settings;
    }

    HeaderNames headerNames() {
        return headerNames;
    }

    DecisionLog log() {
        return log;
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    FleetView view() {
        return view;
    }

    TargetConnections connections() {
        return connections;
    }

    RetryBudget retries() {
        return retries;
    }

    ForwardPolicy policy() {
        return policy;
    }
}
