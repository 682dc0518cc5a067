package org.poplarwharf.internal.gateway;

import java.util.OptionalLong;

/**
 * The time that a draining node has left for requests. Not limited before the drain.
 *
 * <p>Invariant: once begun, the period doesn't change. Confined to the event loop.
 */
final class GracePeriod {
    private OptionalLong endMillis = OptionalLong.empty();

    /** Begins the period, which ends at the given time on the clock of the gateway. */
    void begin(long requestsEndMillis) {
        if (endMillis.isEmpty()) {
            endMillis = OptionalLong.of(requestsEndMillis);
        }
    }

    /** Returns how many milliseconds are left, zero at least; empty while they are not limited. */
    OptionalLong leftMillis(long nowMillis) {
        return endMillis.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(Math.max(0, endMillis.getAsLong() - nowMillis));
    }

    /** Returns whether something that takes the given time can end within the period. */
    boolean allows(long neededMillis, long nowMillis) {
        return endMillis.isEmpty() || nowMillis + neededMillis <= endMillis.getAsLong();
    }
}
