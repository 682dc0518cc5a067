package org.poplarwharf.internal.cell;

import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.AdapterSpec;
import org.poplarwharf.internal.config.FleetConfig.CellSpec;
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
        List<String> cells =
                config.cells().stream().map(CellSpec::name).sorted().toList();
        long total = 0;
        for (String name : cells) {
            total += permitted(config, model, name);
        }
        if (total == 0) {
            return 0;
        }
        long assigned = 0;
        for (String name : cells) {
            assigned += count * permitted(config, model, name) / total;
        }
        long rest = count - assigned;
        for (String name : cells) {
            long targets = permitted(config, model, name);
            long share = count * targets / total;
            if (rest > 0 && count * targets % total > 0) {
                share++;
                rest--;
            }
            if (name.equals(cell)) {
                return (int) share;
            }
        }
        return 0;
    }

    private static long permitted(FleetConfig config, ModelSpec model, String cell) {
        return config.targetsOf(cell).stream()
                .filter(target -> permits(model, target))
                .count();
    }
}
