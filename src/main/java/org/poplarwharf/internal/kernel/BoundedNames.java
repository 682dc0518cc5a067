package org.poplarwharf.internal.kernel;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keeps the number of distinct names in metrics within a limit; further names become {@code other}.
 *
 * <p>Invariant: a name that was let through once always is. Thread-safe.
 */
final class BoundedNames {
    /** The name that stands for all names beyond the limit. */
    static final String OTHER = "other";

    private final int limit;
    private final Set<String> known = ConcurrentHashMap.newKeySet();

    BoundedNames(int limit) {
        this.limit = limit;
    }

    /** Returns the name as it may stand in a metric. */
    String bound(String name) {
        String clean = name.replace('.', '_');
        if (known.contains(clean)) {
            return clean;
        }
        synchronized (this) {
            if (known.size() >= limit) {
                return known.contains(clean) ? clean : OTHER;
            }
            known.add(clean);
        }
        return clean;
    }
}
