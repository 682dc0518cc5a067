package org.poplarwharf.internal.gateway;

import java.net.SocketAddress;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.http.BrokenResponseObserver;
import org.poplarwharf.internal.kernel.DecisionLog;

/** Logs and counts the bytes that peers send in place of a response. Thread-safe. */
public final class BrokenResponseRecorder implements BrokenResponseObserver {
    private final DecisionLog log;
    private final GatewayMetrics metrics;

    public BrokenResponseRecorder(DecisionLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void onBrokenResponse(SocketAddress peer, String reason) {
        metrics.countBrokenResponse();
        log.log("broken-response", "code", FailureCode.OUTCOME_UNKNOWN.text(), "peer", peer, "reason", reason);
    }
}
