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
 * What the configuration allows one cell of an artifact: version, size and its share of the replicas.
 *
 * <p>Invariant: a pure function of the configuration; the shares of all cells add up to the configured count. Immutable
 * and thread-safe.
 */
record ReplicaShare(
        ArtifactId artifact, String version, long sizeBytes, int limit, int minimum, int priority, ModelSpec model) {

    /** Returns the share of a cell, or empty when the configuration does not name the artifact. */
    static Optional<ReplicaShare> of(FleetConfig config, ArtifactId artifact, String cell) {
        return switch (artifact.kind()) {
            case SERVICE -> Optional.empty();
            case MODEL ->
                config.model(artifact.name())
                        .map(model -> new ReplicaShare(
                                artifact,
                                model.version(),
                                model.sizeBytes(),
                                split(config, model, cell, model.replicas()),
                                split(config, model, cell, Math.min(model.minReplicas(), model.replicas())),
                                model.priority(),
                                model));
            case ADAPTER -> config.model(artifact.name()).flatMap(model -> ofAdapter(config, model, artifact, cell));
        };
    }

    private static Optional<ReplicaShare> ofAdapter(
            FleetConfig config, ModelSpec model, ArtifactId artifact, String cell) {
        for (AdapterSpec adapter : model.adapters()) {
            if (!adapter.name().equals(artifact.adapter())) {
                continue;
            }
            int limit = split(config, model, cell, adapter.replicas());
            return Optional.of(new ReplicaShare(
                    artifact, adapter.version(), adapter.sizeBytes(), limit, 0, model.priority(), model));
        }
        return Optional.empty();
    }

    /** Tells whether the model's constraints let it run on the target. */
    static boolean permits(ModelSpec model, TargetSpec target) {
        if (target.kind() != TargetKind.ENGINE) {
            return false;
        }
        boolean zoneFits = model.zones().isEmpty() || model.zones().contains(target.zone());
        boolean targetFits = model.targets().isEmpty() || model.targets().contains(target.name());
        return zoneFits && targetFits;
    }

    /** Splits a count over the cells by their permitted targets: floors first, the rest to cells in name order. */
    private static int split(FleetConfig config, ModelSpec model, String cell, int count) {
        Map<String, Long> permitted = permittedByCell(config, model);
        long total = permitted.values().stream().mapToLong(Long::longValue).sum();
        if (total == 0) {
            return 0;
        }
        long rest = count;
        for (long targets : permitted.values()) {
            rest -= count * targets / total;
        }
        for (Map.Entry<String, Long> entry : permitted.entrySet()) {
            long share = count * entry.getValue() / total;
            if (rest > 0 && count * entry.getValue() % total > 0) {
                share++;
                rest--;
            }
            if (entry.getKey().equals(cell)) {
                return (int) share;
            }
        }
        return 0;
    }

    /** Returns how many targets of each cell the model may run on, cells in name order. */
    private static Map<String, Long> permittedByCell(FleetConfig config, ModelSpec model) {
        Map<String, Long> permitted = new TreeMap<>();
        for (TargetSpec target : config.targets()) {
            if (permits(model, target)) {
                config.cellOf(target).ifPresent(cell -> permitted.merge(cell.name(), 1L, Long::sum));
            }
        }
        return permitted;
    }
}
