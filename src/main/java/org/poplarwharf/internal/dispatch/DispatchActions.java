package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import org.poplarwharf.internal.fleet.Target;

/**
 * Carries out a dispatcher's decisions. Implementations are called on the dispatcher's thread and must not call back
 * into the dispatcher from within the call.
 */
public interface DispatchActions {
    /** Grants the request: it may be sent to the target, with a copy of its run state kept at the backup target. */
    void grant(DispatchRequest request, Target target, Optional<Target> backup);

    /** Refuses the request, which is no longer tracked. The caller should retry after the given delay. */
    void refuse(DispatchRequest request, String reason, long retryAfterMillis);

    /** Sends an order. Its result must be passed to {@link Dispatcher#handleOrderResult}. */
    void sendOrder(EngineOrder order);

    /** Logs a decision: the event's name, followed by alternating field names and values. */
    void logDecision(String event, Object... fields);

    /** Requests a report from the target. The report must be passed to {@link Dispatcher#handleReport}. */
    void requestReport(Target target);
}
