package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A model at a target. Confined to one thread.
 */
final class Residency {
    /** Stands for a time that isn't known until an order is answered. */
    static final long NOT_YET = Long.MAX_VALUE / 2;

    /** When requests may be sent; later than now while it is being loaded. */
    long readyAtMillis;

    /** Whether the target must confirm the load before requests are sent. */
    boolean unconfirmed;

    /** Whether it takes no more requests, so that it can make way once those under way have ended. */
    boolean retiring;

    /** Until then the model doesn't make way, since a replica elsewhere is about to. */
    long staysUntilMillis;

    int running;
    long lastUsedMillis;
    final Map<String, AdapterUse> adapters = new HashMap<>();

    /** An adapter at a target. */
    static final class AdapterUse {
        long readyAtMillis;
        int running;
        long lastUsedMillis;
    }

    Residency(long readyAtMillis, Set<String> heldAdapters) {
        this.readyAtMillis = readyAtMillis;
        heldAdapters.forEach(name -> adapters.put(name, new AdapterUse()));
    }

    boolean ready(long nowMillis) {
        return !unconfirmed && readyAtMillis <= nowMillis;
    }
}
