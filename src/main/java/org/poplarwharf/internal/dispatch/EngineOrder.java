package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import org.poplarwharf.internal.fleet.Target;

/**
 * An order to an engine. Immutable and thread-safe.
 *
 * @param ordersAccepted how many orders the target must have accepted before for this one to count, so that a late
 *     order never meets a state that it was not made for
 */
public record EngineOrder(Target target, Kind kind, String model, Optional<String> adapter, long ordersAccepted) {
    /** What is ordered. */
    public enum Kind {
        LOAD,
        UNLOAD
    }
}
