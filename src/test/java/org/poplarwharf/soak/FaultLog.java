package org.poplarwharf.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** When which fault struck which part. Thread-safe. */
final class FaultLog {
    /** After a fault has ended, its part counts as struck for this much longer, as the promises allow. */
    static final long SETTLE_MILLIS = 3_000;

    private final List<Struck> all = new ArrayList<>();

    /** A fault that struck; planned ones are announced, and cost no request. */
    static final class Struck {
        final String what;
        final String part;
        final boolean planned;
        final long beginMillis;
        private long endMillis = Long.MAX_VALUE;

        private Struck(String what, String part, boolean planned, long beginMillis) {
            this.what = what;
            this.part = part;
            this.planned = planned;
            this.beginMillis = beginMillis;
        }
    }

    synchronized Struck begun(String what, String part, boolean planned, long nowMillis) {
        Struck struck = new Struck(what, part, planned, nowMillis);
        all.add(struck);
        return struck;
    }

    synchronized void ended(Struck struck, long nowMillis) {
        struck.endMillis = nowMillis;
    }

    /** Tells whether no unplanned fault was under way at any time of the span, or had ended shortly before it. */
    synchronized boolean calm(long fromMillis, long toMillis) {
        return all.stream().noneMatch(struck -> !struck.planned && overlaps(struck, fromMillis, toMillis));
    }

    /** Tells whether nothing has struck one of the parts in the span, or shortly before it. */
    synchronized boolean untouched(long fromMillis, long toMillis, String... parts) {
        List<String> wanted = List.of(parts);
        return all.stream().noneMatch(struck -> wanted.contains(struck.part) && overlaps(struck, fromMillis, toMillis));
    }

    /** Returns when the last fault ended that had ended by then. */
    synchronized Optional<Long> lastEnd(long beforeMillis) {
        return all.stream()
                .map(struck -> struck.endMillis)
                .filter(end -> end <= beforeMillis)
                .max(Long::compare);
    }

    private static boolean overlaps(Struck struck, long fromMillis, long toMillis) {
        boolean over = struck.endMillis != Long.MAX_VALUE && struck.endMillis + SETTLE_MILLIS < fromMillis;
        return !over && struck.beginMillis <= toMillis;
    }
}
