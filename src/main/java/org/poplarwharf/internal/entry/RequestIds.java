package org.poplarwharf.internal.entry;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Makes ids that no other attempt of any node has. Thread-safe.
 */
public final class RequestIds {
    private static final String PREFIX = "pw-";

    private final String stem;
    private final AtomicLong next = new AtomicLong();

    public RequestIds(String nodeId, long incarnation) {
        this.stem = PREFIX + nodeId + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-";
    }

    public String next() {
        return stem + next.getAndIncrement();
    }

    /** Tells whether an id that a target echoed belongs to another request; ids of the target's own making do not. */
    static boolean anothers(String echoed, String sent) {
        return echoed != null && echoed.startsWith(PREFIX) && !echoed.equals(sent);
    }
}
