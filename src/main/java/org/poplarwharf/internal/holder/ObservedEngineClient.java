package org.poplarwharf.internal.holder;

import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.http.ConnectionObserver;

/**
 * Tells an observer which calls to targets get no response: a lease holder may have no other traffic by which to learn that it
 * reaches no target. Confined to the event loop.
 */
final class ObservedEngineClient implements EngineClient {
    private final EngineClient client;
    private final ConnectionObserver observer;

    ObservedEngineClient(EngineClient client, ConnectionObserver observer) {
        this.client = client;
        this.observer = observer;
    }

    @Override
    public void sendOrder(EngineOrder order, String holder, long fencingNumber, Consumer<OrderResult> callback) {
        String targetId = order.target().id();
        observer.requestSent(targetId);
        client.sendOrder(order, holder, fencingNumber, result -> {
            switch (result) {
                case ACCEPTED, HOLDS, CONFLICT -> observer.received(targetId);
                case REFUSED, UNKNOWN -> {
                    // The target may not have responded.
                }
            }
            callback.accept(result);
        });
    }

    @Override
    public void fetchReport(Target target, Consumer<Optional<EngineReport>> callback) {
        observer.requestSent(target.id());
        client.fetchReport(target, report -> {
            if (report.isPresent()) {
                observer.received(target.id());
            }
            callback.accept(report);
        });
    }
}
