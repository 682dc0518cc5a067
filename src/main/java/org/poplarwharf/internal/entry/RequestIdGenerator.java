package org.poplarwharf.internal.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Makes ids that no other attempt of any node has. Thread-safe.
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

    /** Tells whether an id that a target echoed belongs to another request; ids of the target's own making do not. */
    static boolean belongsToAnotherRequest(String echoed, String sent) {
        return echoed != null && echoed.startsWith(PRODUCT_PREFIX) && !echoed.equals(sent);
    }
}
