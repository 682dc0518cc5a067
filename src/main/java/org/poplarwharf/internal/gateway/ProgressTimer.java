package org.poplarwharf.internal.gateway;

import io.netty.util.concurrent.Future;
import java.util.OptionalLong;

/** Runs an action when an exchange has made no progress for a time. Confined to the event loop. */
final class ProgressTimer {
    private final GatewayContext context;
    private final Runnable onNoProgress;
    private OptionalLong timeoutMillis = OptionalLong.empty();
    private Future<?> scheduled;

    ProgressTimer(GatewayContext context, Runnable onNoProgress) {
        this.context = context;
        this.onNoProgress = onNoProgress;
    }

    /** Starts to wait anew; without a timeout, only stops to wait. */
    void restart(OptionalLong latestTimeoutMillis) {
        timeoutMillis = latestTimeoutMillis;
        repeat();
    }

    /** Starts to wait anew with the timeout of the last time. */
    void repeat() {
        stop();
        if (timeoutMillis.isPresent()) {
            scheduled = context.schedule(timeoutMillis.getAsLong(), onNoProgress);
        }
    }

    void stop() {
        if (scheduled != null) {
            scheduled.cancel(false);
            scheduled = null;
        }
    }
}
