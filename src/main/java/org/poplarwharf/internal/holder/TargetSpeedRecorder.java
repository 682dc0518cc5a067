package org.poplarwharf.internal.holder;

import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.gateway.FleetView;
import org.poplarwharf.internal.gateway.GatewayMetrics;
import org.poplarwharf.internal.kernel.DecisionLog;

/** Logs and counts which targets begin or cease to count as slow. Confined to the event loop. */
final class TargetSpeedRecorder implements TargetSpeeds.Listener {
    private final DecisionLog log;
    private final GatewayMetrics metrics;

    private TargetSpeedRecorder(DecisionLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Returns the speeds of the targets in the view; those of removed targets are dropped. */
    static TargetSpeeds newSpeeds(FleetView view, boolean usedForPlacement, DecisionLog log, GatewayMetrics metrics) {
        TargetSpeeds speeds = new TargetSpeeds(new TargetSpeedRecorder(log, metrics), usedForPlacement);
        view.onRemoval(target -> speeds.remove(target.id()));
        metrics.registerGauge("slow_targets", speeds::slowCount);
        return speeds;
    }

    @Override
    public void slownessChanged(String targetId, boolean slow, TargetSpeeds.Estimate estimate) {
        metrics.countTargetSlownessChange();
        log.log(
                slow ? "target-slow" : "target-not-slow",
                "target",
                targetId,
                "ratio",
                estimate.ratio(),
                "uncertaintyLog",
                estimate.uncertaintyLog(),
                "observations",
                estimate.observationCount());
    }
}
