package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * A model at a target, either loaded or being loaded. Confined to one thread.
 */
final class ModelInstance {
    /** Placeholder for a time that isn't known until the result of an order arrives. */
    static final long UNKNOWN_MILLIS = Long.MAX_VALUE / 2;

    /** The time from which on requests may be sent; in the future while the model is being loaded. */
    long readyAtMillis;

    /** Whether a report of the target must confirm the load before requests are sent. */
    boolean unconfirmed;

    /** Whether the model gets no new requests, so that it can be evicted once its running requests have ended. */
    boolean draining;

    /** Until this time the model isn't evicted, since its replica at another target is about to be. */
    long protectedUntilMillis;

    int runCount;
    long lastUsedMillis;
    final Map<String, AdapterInstance> adapters = new HashMap<>();

    /** An adapter at a target. */
    static final class AdapterInstance {
        long readyAtMillis;
        int runCount;
        long lastUsedMillis;
    }

    ModelInstance(long readyAtMillis, Set<String> heldAdapters) {
        this.readyAtMillis = readyAtMillis;
        heldAdapters.forEach(name -> adapters.put(name, new AdapterInstance()));
    }

    /** Returns whether requests may be sent to the model. */
    boolean isReady(long nowMillis) {
        return !unconfirmed && readyAtMillis <= nowMillis;
    }
}
