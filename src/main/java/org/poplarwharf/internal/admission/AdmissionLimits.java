package org.poplarwharf.internal.admission;

import java.util.function.Supplier;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.ClassSpec;
import org.poplarwharf.internal.config.FleetConfig.TenantSpec;

/**
 * What the configuration in force grants to classes and tenants.
 *
 * <p>Invariant: the class of the highest priority may use every place of a target; the others leave a share free for it,
 * so that it never waits behind long work. Belongs to the control thread.
 */
final class AdmissionLimits {
    private static final double RESERVED_SHARE = 0.2;
    private static final int DEFAULT_PRIORITY = 0;
    private static final int DEFAULT_QUEUE_LIMIT = 1_000;
    private static final int DEFAULT_WEIGHT = 1;

    private final Supplier<FleetConfig> config;

    AdmissionLimits(Supplier<FleetConfig> config) {
        this.config = config;
    }

    int priority(String requestClass) {
        return config.get().requestClass(requestClass).map(ClassSpec::priority).orElse(DEFAULT_PRIORITY);
    }

    int queueLimit(String requestClass) {
        return config.get()
                .requestClass(requestClass)
                .map(ClassSpec::queueLimit)
                .orElse(DEFAULT_QUEUE_LIMIT);
    }

    int weight(String tenant) {
        return config.get().tenant(tenant).map(TenantSpec::weight).orElse(DEFAULT_WEIGHT);
    }

    /** Returns how many places of a target requests of this priority may use. */
    int maxInFlight(int priority, int maxConcurrent) {
        if (priority >= highestPriority() || maxConcurrent < 2) {
            return maxConcurrent;
        }
        int reserved = (int) Math.ceil(maxConcurrent * RESERVED_SHARE);
        return maxConcurrent - reserved;
    }

    private int highestPriority() {
        return config.get().classes().stream()
                .mapToInt(ClassSpec::priority)
                .max()
                .orElse(DEFAULT_PRIORITY);
    }
}
