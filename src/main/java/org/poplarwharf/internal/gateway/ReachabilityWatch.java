package org.poplarwharf.internal.gateway;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.RefusalProbe;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.kernel.MonotonicClock;

/**
 * Probes targets while it is in doubt whether this node reaches any, and tells when that changes.
 *
 * <p>Invariant: without doubt, no timer runs and no probe is sent. Confined to the event loop.
 */
final class ReachabilityWatch implements TargetReachability.Listener {
    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final EventLoop loop;
    private final DecisionLog log;
    private final RefusalProbe probe;
    private final TargetReachability reachability;
    private final List<Consumer<Boolean>> listeners = new ArrayList<>();
    private boolean scheduled;

    ReachabilityWatch(FleetView view, MonotonicClock clock, EventLoop loop, DecisionLog log, GatewayMetrics metrics) {
        this.loop = loop;
        this.log = log;
        this.probe = new RefusalProbe(loop);
        this.reachability = new TargetReachability(view, clock::nowMillis, this);
        metrics.registerGauge("reaches_no_target", () -> reachability.isCutOff() ? 1 : 0);
    }

    TargetReachability reachability() {
        return reachability;
    }

    /** Registers a listener that is told whether this node reaches no target, each time that this changes. */
    void onChange(Consumer<Boolean> listener) {
        listeners.add(listener);
    }

    @Override
    public void cutOffChanged(boolean cutOff) {
        log.log(cutOff ? "targets-unreachable" : "targets-reachable");
        listeners.forEach(listener -> listener.accept(cutOff));
    }

    @Override
    public void probesNeeded() {
        if (!scheduled) {
            scheduled = true;
            loop.schedule(this::check, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        scheduled = false;
        reachability.nextProbe().ifPresent(this::probe);
        if (reachability.needsProbes()) {
            probesNeeded();
        }
    }

    private void probe(Target target) {
        probe.tryConnect(target.address(), connected -> {
            log.log("target-probed", "target", target.id(), "connected", connected);
            if (connected) {
                reachability.connected(target.id());
            } else {
                reachability.connectFailed(target.id());
            }
        });
    }
}
