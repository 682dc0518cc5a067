package org.poplarwharf.internal.cell;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.AdapterSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetKind;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The replicas of an artifact that the configuration allows one cell: version, size, and the maximum and minimum
 * count.
 *
 * <p>Invariant: a pure function of the configuration; the quotas of all cells add up to the configured replica count.
 * Immutable and thread-safe.
 */
record ReplicaQuota(
        ArtifactId artifact, String version, long sizeBytes, int limit, int minimum, int priority, ModelSpec model) {

    /** Returns the quota of a cell, or empty if the configuration does not contain the artifact. */
    static Optional<ReplicaQuota> of(FleetConfig config, ArtifactId artifact, String cell) {
        return switch (artifact.kind()) {
            case SERVICE -> Optional.empty();
            case MODEL ->
                config.model(artifact.name())
                        .map(model -> new ReplicaQuota(
                                artifact,
                                model.version(),
                                model.sizeBytes(),
                                splitCount(config, model, cell, model.replicas()),
                                splitCount(config, model, cell, Math.min(model.minReplicas(), model.replicas())),
                                model.priority(),
                                model));
            case ADAPTER -> config.model(artifact.name()).flatMap(model -> ofAdapter(config, model, artifact, cell));
        };
    }

    private static Optional<ReplicaQuota> ofAdapter(
            FleetConfig config, ModelSpec model, ArtifactId artifact, String cell) {
        for (AdapterSpec adapter : model.adapters()) {
            if (!adapter.name().equals(artifact.adapter())) {
                continue;
            }
            int limit = splitCount(config, model, cell, adapter.replicas());
            return Optional.of(new ReplicaQuota(
                    artifact, adapter.version(), adapter.sizeBytes(), limit, 0, model.priority(), model));
        }
        return Optional.empty();
    }

    /** Returns whether the constraints of the model allow it on the target. */
    static boolean permits(ModelSpec model, TargetSpec target) {
        if (target.kind() != TargetKind.ENGINE) {
            return false;
        }
        boolean zoneFits = model.zones().isEmpty() || model.zones().contains(target.zone());
        boolean targetFits = model.targets().isEmpty() || model.targets().contains(target.name());
        return zoneFits && targetFits;
    }

    /**
     * Splits a count over the cells in proportion to their permitted targets. Fractions are rounded down; the
     * remainder goes to cells in name order.
     */
    private static int splitCount(FleetConfig config, ModelSpec model, String cell, int count) {
        Map<String, Long> targetCounts = permittedTargetCounts(config, model);
        long total = targetCounts.values().stream().mapToLong(Long::longValue).sum();
        if (total == 0) {
            return 0;
        }
        long remainder = count;
        for (long targetCount : targetCounts.values()) {
            remainder -= count * targetCount / total;
        }
        for (Map.Entry<String, Long> entry : targetCounts.entrySet()) {
            long cellCount = count * entry.getValue() / total;
            if (remainder > 0 && count * entry.getValue() % total > 0) {
                cellCount++;
                remainder--;
            }
            if (entry.getKey().equals(cell)) {
                return (int) cellCount;
            }
        }
        return 0;
    }

    /** Returns the number of targets in each cell on which the model may run, with cells in name order. */
    private static Map<String, Long> permittedTargetCounts(FleetConfig config, ModelSpec model) {
        Map<String, Long> targetCounts = new TreeMap<>();
        for (TargetSpec target : config.targets()) {
            if (permits(model, target)) {
                config.cellOf(target).ifPresent(cell -> targetCounts.merge(cell.name(), 1L, Long::sum));
            }
        }
        return targetCounts;
    }
}
