package org.poplarwharf.internal.holder;

import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.fleet.Target;

/**
 * Sends load and unload orders to engines and reads their reports. Calls each callback exactly once, on the event loop.
 */
public interface EngineClient {
    /** Sends an order on behalf of a lease holder. */
    void sendOrder(EngineOrder order, String holder, long fencingNumber, Consumer<OrderResult> callback);

    /** Requests a report from a target; the result is empty if the target sends none. */
    void fetchReport(Target target, Consumer<Optional<EngineReport>> callback);
}
