package org.poplarwharf.internal.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Weighted fair queuing of grants among tenants: the tenant with the lowest usage relative to its weight comes first.
 *
 * <p>Invariant: a tenant that was idle resumes at most one unit of virtual time behind the others, so that it gains
 * no credit for its idle time. Bounded by the number of configured tenants plus one. Confined to the control thread.
 */
final class FairShare {
    private final Map<String, Double> virtualTimeByTenant = new HashMap<>();
    private double lastGrantedVirtualTime;

    /**
     * Returns the virtual time of the tenant, which grows by 1/weight per grant. The lowest value is served first.
     */
    double usage(String tenant) {
        return Math.max(virtualTimeByTenant.getOrDefault(tenant, 0.0), lastGrantedVirtualTime - 1);
    }

    void recordGrant(String tenant, int weight) {
        double startVirtualTime = usage(tenant);
        lastGrantedVirtualTime = Math.max(lastGrantedVirtualTime, startVirtualTime);
        virtualTimeByTenant.put(tenant, startVirtualTime + 1.0 / Math.max(1, weight));
    }
}
