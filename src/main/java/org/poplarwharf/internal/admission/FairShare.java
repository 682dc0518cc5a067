package org.poplarwharf.internal.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Shares grants among tenants by weight: the tenant that has had the least, for its weight, comes first.
 *
 * <p>Invariant: a tenant that returns after a pause starts level with the others, so that it can't claim the time it was
 * away. Bounded by the number of configured tenants plus one. Belongs to the control thread.
 */
final class FairShare {
    private final Map<String, Double> virtualTime = new HashMap<>();
    private double lastGranted;

    /** Returns how much the tenant has had; the lowest comes first. */
    double usage(String tenant) {
        return Math.max(virtualTime.getOrDefault(tenant, 0.0), lastGranted - 1);
    }

    void recordGrant(String tenant, int weight) {
        double start = usage(tenant);
        lastGranted = Math.max(lastGranted, start);
        virtualTime.put(tenant, start + 1.0 / Math.max(1, weight));
    }
}
