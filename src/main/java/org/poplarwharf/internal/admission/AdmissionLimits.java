package org.poplarwharf.internal.admission;

import java.util.function.Supplier;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.ClassSpec;
import org.poplarwharf.internal.config.FleetConfig.TenantSpec;

/**
 * Priorities, queue limits, weights and concurrency limits from the current configuration.
 *
 * <p>Invariant: the class with the highest priority may use the full concurrency of a target; all other classes
 * leave a share of it free, so that high-priority requests never wait behind long-running ones. Confined to the
 * control thread.
 */
final class AdmissionLimits {
    private static final double RESERVED_RATIO = 0.2;
    private static final int DEFAULT_PRIORITY = 0;
    private static final int DEFAULT_QUEUE_LIMIT_COUNT = 1_000;
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
                .orElse(DEFAULT_QUEUE_LIMIT_COUNT);
    }

    int weight(String tenant) {
        return config.get().tenant(tenant).map(TenantSpec::weight).orElse(DEFAULT_WEIGHT);
    }

    /** Returns the concurrency limit of a target for requests of this priority. */
    int maxInFlight(int priority, int maxConcurrent) {
        if (priority >= highestPriority() || maxConcurrent < 2) {
            return maxConcurrent;
        }
        int reservedCount = (int) Math.ceil(maxConcurrent * RESERVED_RATIO);
        return maxConcurrent - reservedCount;
    }

    private int highestPriority() {
        return config.get().classes().stream()
                .mapToInt(ClassSpec::priority)
                .max()
                .orElse(DEFAULT_PRIORITY);
    }
}
