package org.poplarwharf.internal.holder;

import java.util.function.Supplier;
import org.poplarwharf.internal.gateway.GatewayMetrics;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.limit.TargetLimits;

/** Logs and counts changes of the limits that targets name. Stateless. */
final class TargetLimitRecorder {
    private TargetLimitRecorder() {}

    /** Returns limits whose changes are recorded and made known to the holder's role. */
    static TargetLimits newLimits(Supplier<HolderRole> holderRole, DecisionLog log, GatewayMetrics metrics) {
        return new TargetLimits(() -> holderRole.get().isSoleHolder(), (targetId, requestsPerSecond) -> {
            metrics.countTargetLimitChange();
            if (requestsPerSecond.isPresent()) {
                log.log("target-limit-named", "target", targetId, "requestsPerSecond", requestsPerSecond.getAsDouble());
            } else {
                log.log("target-limit-ended", "target", targetId);
            }
            holderRole.get().limitsChanged();
        });
    }
}
