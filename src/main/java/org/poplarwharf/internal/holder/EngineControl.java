package org.poplarwharf.internal.holder;

import java.util.Optional;
import java.util.function.Consumer;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.fleet.Target;

/** Talks to engines about what they hold. Answers come on the event loop, one for each call. */
public interface EngineControl {
    /** Sends an order in the name of a lease holder. */
    void order(EngineOrder order, String holder, long fencingNumber, Consumer<OrderResult> answer);

    /** Asks for a report; empty where none comes. */
    void report(Target target, Consumer<Optional<EngineReport>> answer);
}
