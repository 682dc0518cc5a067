package org.poplarwharf.internal.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Generates ids that are unique across all attempts of all nodes. Thread-safe.
 */
public final class RequestIdGenerator {
    private static final String PRODUCT_PREFIX = "pw-";

    private final String idPrefix;
    private final AtomicLong next = new AtomicLong();

    public RequestIdGenerator(String nodeId, long incarnation) {
        this.idPrefix = PRODUCT_PREFIX + nodeId + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-";
    }

    public String next() {
        return idPrefix + next.getAndIncrement();
    }

    /** Returns whether an id that a target echoed is that of another request. Ids that a target generated itself don't count. */
    static boolean belongsToAnotherRequest(String echoed, String expected) {
        return echoed != null && echoed.startsWith(PRODUCT_PREFIX) && !echoed.equals(expected);
    }
}
