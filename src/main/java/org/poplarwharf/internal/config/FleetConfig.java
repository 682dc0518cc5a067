package org.poplarwharf.internal.config;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The merged configuration: what may be served, where, in how many replicas and with which priority.
 *
 * <p>Invariant: names are unique in each list and every reference resolves; the merge checks this before it makes one.
 * Immutable and thread-safe.
 *
 * @param version the log offset of the change that made it; grows with each accepted change
 */
public record FleetConfig(
        long version,
        List<CellSpec> cells,
        List<TargetSpec> targets,
        List<ModelSpec> models,
        List<ServiceSpec> services,
        List<ClassSpec> classes,
        List<TenantSpec> tenants) {

    /** The configuration before any operator has published one. */
    public static final FleetConfig EMPTY =
            new FleetConfig(-1, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());

    /** What runs on a target VM. */
    public enum TargetKind {
        ENGINE,
        SERVICE
    }

    /** A fixed group of targets with one lease; {@code zones} tells which targets belong to it. */
    public record CellSpec(String name, List<String> zones) {}

    /**
     * A target VM.
     *
     * @param memoryBytes accelerator memory, zero for a service
     * @param maxConcurrent requests that it runs at once
     * @param fencing whether its engine refuses orders with an old fencing number
     * @param accelerators how many accelerators it has
     */
    public record TargetSpec(
            String name,
            TargetKind kind,
            String address,
            String zone,
            long memoryBytes,
            int maxConcurrent,
            boolean fencing,
            int accelerators) {}

    /**
     * A model that may be served.
     *
     * @param sizeBytes accelerator memory that one replica takes
     * @param replicas the most replicas that may be loaded
     * @param minReplicas replicas that stay loaded without requests
     * @param priority higher is loaded first and evicted last
     * @param zones where it may run; empty for anywhere
     * @param targets on which targets it may run; empty for any
     */
    public record ModelSpec(
            String name,
            String version,
            long sizeBytes,
            int replicas,
            int minReplicas,
            int priority,
            List<String> zones,
            List<String> targets,
            List<AdapterSpec> adapters,
            OptionalLong keepAliveMillis) {}

    /** An adapter of a model; it is loaded where the model is. */
    public record AdapterSpec(String name, String version, long sizeBytes, int replicas) {}

    /** A plain service; {@code nonRepeatable} lists its calls that may not be repeated. */
    public record ServiceSpec(String name, List<String> targets, List<CallSpec> nonRepeatable) {}

    /** Calls of a service: an HTTP method and the beginning of the path behind the service's name. */
    public record CallSpec(String method, String pathPrefix) {}

    /**
     * A class of requests.
     *
     * @param deadlineMillis the deadline of a request that names none
     * @param priority higher goes first
     * @param queueLimit the most requests that wait in one cell
     */
    public record ClassSpec(String name, long deadlineMillis, int priority, int queueLimit) {}

    /** A tenant; capacity is shared by weight when it is short. */
    public record TenantSpec(String name, int weight, Optional<String> defaultClass) {}

    public Optional<ModelSpec> model(String name) {
        return models.stream().filter(m -> m.name().equals(name)).findFirst();
    }

    public Optional<ServiceSpec> service(String name) {
        return services.stream().filter(s -> s.name().equals(name)).findFirst();
    }

    public Optional<TargetSpec> target(String name) {
        return targets.stream().filter(t -> t.name().equals(name)).findFirst();
    }

    public Optional<ClassSpec> requestClass(String name) {
        return classes.stream().filter(c -> c.name().equals(name)).findFirst();
    }

    public Optional<TenantSpec> tenant(String name) {
        return tenants.stream().filter(t -> t.name().equals(name)).findFirst();
    }

    /** Returns the cell that a target belongs to by its zone. */
    public Optional<CellSpec> cellOf(TargetSpec target) {
        return cells.stream().filter(c -> c.zones().contains(target.zone())).findFirst();
    }

    /** Returns the targets of a cell in name order. */
    public List<TargetSpec> targetsOf(String cell) {
        return targets.stream()
                .filter(t -> cellOf(t).map(c -> c.name().equals(cell)).orElse(false))
                .toList();
    }

    /** Tells whether the configuration lets callers ask for this artifact. */
    public boolean serves(ArtifactId artifact) {
        return switch (artifact.kind()) {
            case SERVICE -> service(artifact.name()).isPresent();
            case MODEL -> model(artifact.name()).isPresent();
            case ADAPTER ->
                model(artifact.name())
                        .map(m -> m.adapters().stream().anyMatch(a -> a.name().equals(artifact.adapter())))
                        .orElse(false);
        };
    }
}
