package org.poplarwharf.internal.holder;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.lease.HolderLease;
import org.poplarwharf.internal.topic.TopicFollower;

/**
 * Sends orders and requests for reports to engines, and logs them.
 *
 * <p>Invariant: an order is sent only if this node holds the lease at that moment. Confined to the event loop.
 */
final class EngineOrderSender {
    private final String nodeId;
    private final EngineClient engines;
    private final TopicFollower.Timer timer;
    private final DecisionLog log;

    EngineOrderSender(String nodeId, EngineClient engines, TopicFollower.Timer timer, DecisionLog log) {
        this.nodeId = nodeId;
        this.engines = engines;
        this.timer = timer;
        this.log = log;
    }

    /** Sends an order and passes its result to the callback, never before this method returns. */
    void send(EngineOrder order, Optional<HolderLease> lease, Consumer<OrderResult> callback) {
        Consumer<OrderResult> logged = result -> {
            logOrder("order-answered", order, "answer", result);
            callback.accept(result);
        };
        if (lease.filter(HolderLease::mayOrder).isEmpty()) {
            timer.schedule(0, () -> logged.accept(OrderResult.REFUSED));
            return;
        }
        long fencingNumber = lease.get().fencingNumber();
        logOrder("order-sent", order, "ordersAccepted", order.expectedOrdersAccepted(), "fencingNumber", fencingNumber);
        engines.sendOrder(order, nodeId, fencingNumber, logged);
    }

    /** Requests the state of a target; the callback gets nothing if the target does not respond. */
    void requestReport(Target target, Consumer<Optional<EngineReport>> callback) {
        engines.fetchReport(target, report -> {
            log.log(
                    "target-reported",
                    "target",
                    target.id(),
                    "answered",
                    report.isPresent(),
                    "ordersAccepted",
                    report.map(EngineReport::ordersAccepted).orElse(-1L),
                    "busy",
                    report.map(EngineReport::orderInProgress).orElse(false));
            callback.accept(report);
        });
    }

    private void logOrder(String event, EngineOrder order, Object... moreFields) {
        List<Object> fields = new ArrayList<>();
        Collections.addAll(fields, "target", order.target().id(), "kind", order.kind(), "model", order.model());
        Collections.addAll(fields, "adapter", order.adapter().orElse(""));
        Collections.addAll(fields, moreFields);
        log.log(event, fields.toArray());
    }
}
