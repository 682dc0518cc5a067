package org.poplarwharf.internal.kernel;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Limits the number of distinct names in metrics; names beyond the limit are reported as {@code other}.
 *
 * <p>Invariant: a name that was accepted once is always accepted. Thread-safe.
 */
final class MetricNameLimiter {
    /** The metric name shared by all names beyond the limit. */
    static final String OTHER = "other";

    private final int maxNames;
    private final Set<String> acceptedNames = ConcurrentHashMap.newKeySet();

    MetricNameLimiter(int maxNames) {
        this.maxNames = maxNames;
    }

    /** Returns the name to use in a metric: dots become underscores, and a new name beyond the limit {@link #OTHER}. */
    String limitName(String name) {
        String sanitized = name.replace('.', '_');
        if (acceptedNames.contains(sanitized)) {
            return sanitized;
        }
        synchronized (this) {
            if (acceptedNames.size() >= maxNames) {
                return acceptedNames.contains(sanitized) ? sanitized : OTHER;
            }
            acceptedNames.add(sanitized);
        }
        return sanitized;
    }
}
