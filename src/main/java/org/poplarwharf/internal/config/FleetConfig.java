package org.poplarwharf.internal.config;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The merged configuration: which artifacts are served, where, with how many replicas and at which priority.
 *
 * <p>Invariant: names are unique in each list and every reference resolves. {@link ConfigMerger} validates this.
 * Immutable and thread-safe.
 *
 * @param version the log offset of the change that created it; increases with each accepted change
 */
public record FleetConfig(
        long version,
        List<CellSpec> cells,
        List<TargetSpec> targets,
        List<ModelSpec> models,
        List<ServiceSpec> services,
        List<ClassSpec> classes,
        List<TenantSpec> tenants) {

    /** The configuration before any has been published. */
    public static final FleetConfig EMPTY =
            new FleetConfig(-1, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());

    /** The kind of software on a target VM. */
    public enum TargetKind {
        ENGINE,
        SERVICE
    }

    /** A fixed group of targets managed under one lease: all targets in {@code zones}. */
    public record CellSpec(String name, List<String> zones) {}

    /**
     * A target VM.
     *
     * @param memoryBytes accelerator memory; 0 for a service
     * @param maxConcurrent the maximum number of concurrent requests
     * @param fencing whether the engine rejects orders with an outdated fencing token
     * @param accelerators the number of accelerators
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
     * @param sizeBytes the accelerator memory used by one replica
     * @param replicas the maximum number of loaded replicas
     * @param minReplicas the number of replicas that stay loaded without requests
     * @param priority models with a higher priority are loaded first and evicted last
     * @param zones the zones where it may run; empty for all
     * @param targets the targets where it may run; empty for all
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

    /** An adapter of a model. It is loaded on targets that have the model loaded. */
    public record AdapterSpec(String name, String version, long sizeBytes, int replicas) {}

    /** A service other than a model. {@code nonRepeatable} lists the calls that must not be sent twice. */
    public record ServiceSpec(String name, List<String> targets, List<CallSpec> nonRepeatable) {}

    /** A set of calls to a service: the HTTP method and the prefix of the path that follows the service name. */
    public record CallSpec(String method, String pathPrefix) {}

    /**
     * A class of requests.
     *
     * @param deadlineMillis the deadline of requests that do not set one
     * @param priority requests with a higher priority are served first
     * @param queueLimit the maximum number of queued requests in one cell
     */
    public record ClassSpec(String name, long deadlineMillis, int priority, int queueLimit) {}

    /** A tenant. When capacity is scarce, it is shared among tenants by weight. */
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

    /** Returns the cell that contains the zone of a target. */
    public Optional<CellSpec> cellOf(TargetSpec target) {
        return cells.stream().filter(c -> c.zones().contains(target.zone())).findFirst();
    }

    /** Returns the targets of a cell, sorted by name. */
    public List<TargetSpec> targetsOf(String cell) {
        return targets.stream()
                .filter(t -> cellOf(t).map(c -> c.name().equals(cell)).orElse(false))
                .toList();
    }

    /** Returns whether callers may request this artifact. */
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
