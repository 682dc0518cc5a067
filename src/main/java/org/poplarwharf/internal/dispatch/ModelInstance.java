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

    /** The expected remaining time of a load that has just become late: until the next report shows that it has ended. */
    private static final long MIN_OVERDUE_MILLIS = 250;

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

        /** Whether the adapter gets no new requests, so that another one gets its slot. */
        boolean draining;
    }

    ModelInstance(long readyAtMillis, Set<String> heldAdapters) {
        this.readyAtMillis = readyAtMillis;
        heldAdapters.forEach(name -> adapters.put(name, new AdapterInstance()));
    }

    /** Returns when a load in progress is expected to end; one that is late is expected to take as long again. */
    long expectedReadyMillis(long nowMillis) {
        return readyAtMillis > nowMillis ? readyAtMillis : expectedEndMillis(readyAtMillis, nowMillis);
    }

    /** Returns the expected end of something that has been overdue since the given time. */
    static long expectedEndMillis(long overdueSinceMillis, long nowMillis) {
        return nowMillis + Math.max(MIN_OVERDUE_MILLIS, nowMillis - overdueSinceMillis);
    }

    /** Returns whether requests may be sent to the model. */
    boolean isReady(long nowMillis) {
        return !unconfirmed && readyAtMillis <= nowMillis;
    }
}
