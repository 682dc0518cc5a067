package org.poplarwharf.internal.dispatch;

import java.util.Optional;
import org.poplarwharf.internal.fleet.Target;

/**
 * An order to an engine to load or unload a model or an adapter. Immutable and thread-safe.
 *
 * @param expectedOrdersAccepted the number of orders that the target must have accepted so far. The target rejects the
 *     order if its count differs, so that a delayed order has no effect on a state it was not made for
 */
public record EngineOrder(
        Target target, Kind kind, String model, Optional<String> adapter, long expectedOrdersAccepted) {
    /** The action that the engine is to carry out. */
    public enum Kind {
        LOAD,
        UNLOAD
    }
}
