package org.poplarwharf.internal.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Lower bounds on waiting and idle time that no placement policy can beat on a trace, even with knowledge of all future
 * requests. Immutable and thread-safe.
 *
 * <p>Each bound solves a relaxed problem. The bound on the wait ignores memory limits and the bandwidth that concurrent
 * loads share; it respects the rate at which loads may start. The bound on idle time assumes that every request is served
 * warm, ignores memory limits, and allows loads at any time in the trace; it respects the total number of loads and bytes
 * that the store can serve. Replicas that the configuration keeps loaded count as loaded in both bounds.
 *
 * @param longestWaitMillis lower bound on the longest wait for the first load of an artifact
 * @param idleMillis lower bound on idle accelerator time
 * @param coldArtifacts number of artifacts that are requested but not kept loaded by the configuration
 */
public record OfflineLowerBound(double longestWaitMillis, double idleMillis, int coldArtifacts) {

    /**
     * The limits of the weight store and the speed of the engines.
     *
     * @param loadsPerSecond maximum rate at which the store starts loads
     * @param fullSpeedLoads number of concurrent loads that the store serves at full speed
     * @param bytesPerSecond full speed of one load
     * @param prefillMillis time until an engine produces its first token
     * @param tokenMillis time between tokens
     */
    public record PlatformLimits(
            double loadsPerSecond, int fullSpeedLoads, double bytesPerSecond, long prefillMillis, long tokenMillis) {}

    private static final double MILLIS_PER_SECOND = 1_000;

    /** An interval in which an artifact is in use without interruption. */
    private record UseInterval(double fromMillis, double toMillis) {}

    /** The time between two uses of an artifact: it either stays loaded and idle, or is loaded again. */
    private record IdleGap(double millis, double idleMillis, long sizeBytes) {}

    /** Computes the bounds for a trace whose times are in the deployment's time scale. */
    public static OfflineLowerBound of(
            FleetConfig config, List<Arrival> trace, PlatformLimits limits, long durationMillis) {
        Map<ArtifactId, List<UseInterval>> useIntervals = useIntervals(trace, limits);
        double idleMillisOfKeptReplicas = idleMillisOfKeptReplicas(config, useIntervals, durationMillis);
        useIntervals.keySet().removeIf(artifact -> isKeptLoaded(config, artifact));
        List<IdleGap> gaps = new ArrayList<>();
        for (Map.Entry<ArtifactId, List<UseInterval>> entry : useIntervals.entrySet()) {
            gaps.addAll(gaps(config, entry.getKey(), entry.getValue()));
        }
        double maxLoads = limits.fullSpeedLoads() + durationMillis / MILLIS_PER_SECOND * limits.loadsPerSecond();
        double maxBytes = durationMillis / MILLIS_PER_SECOND * limits.bytesPerSecond() * limits.fullSpeedLoads();
        double firstLoadBytes = useIntervals.keySet().stream()
                .mapToDouble(artifact -> AcceleratorUsage.sizeBytes(config, artifact))
                .sum();
        double idleMillisByLoadRate = minIdleMillis(gaps, gap -> 1, maxLoads - useIntervals.size());
        double idleMillisByBandwidth = minIdleMillis(gaps, IdleGap::sizeBytes, maxBytes - firstLoadBytes);
        double idleMillis = idleMillisOfKeptReplicas + Math.max(idleMillisByLoadRate, idleMillisByBandwidth);
        return new OfflineLowerBound(longestWaitMillis(config, useIntervals, limits), idleMillis, useIntervals.size());
    }

    private static Map<ArtifactId, List<UseInterval>> useIntervals(List<Arrival> trace, PlatformLimits limits) {
        Map<ArtifactId, List<UseInterval>> useIntervals = new TreeMap<>();
        for (Arrival arrival : trace) {
            if (!arrival.path().isEmpty()) {
                continue;
            }
            double serviceMillis = limits.prefillMillis() + (arrival.maxTokens() - 1.0) * limits.tokenMillis();
            UseInterval interval = new UseInterval(arrival.atMillis(), arrival.atMillis() + serviceMillis);
            addInterval(useIntervals, arrival.artifact(), interval);
            if (arrival.artifact().kind() == ArtifactId.Kind.ADAPTER) {
                addInterval(useIntervals, arrival.artifact().base(), interval);
            }
        }
        return useIntervals;
    }

    /** Adds an interval and merges it with the last one if they overlap. Intervals must arrive in order of their start. */
    private static void addInterval(
            Map<ArtifactId, List<UseInterval>> useIntervals, ArtifactId artifact, UseInterval interval) {
        List<UseInterval> intervals = useIntervals.computeIfAbsent(artifact, key -> new ArrayList<>());
        UseInterval last = intervals.isEmpty() ? null : intervals.get(intervals.size() - 1);
        if (last != null && last.toMillis() >= interval.fromMillis()) {
            intervals.set(
                    intervals.size() - 1,
                    new UseInterval(last.fromMillis(), Math.max(last.toMillis(), interval.toMillis())));
            return;
        }
        intervals.add(interval);
    }

    private static boolean isKeptLoaded(FleetConfig config, ArtifactId artifact) {
        return artifact.kind() == ArtifactId.Kind.MODEL
                && config.model(artifact.name())
                        .map(model -> model.minReplicas() > 0)
                        .orElse(false);
    }

    /** Returns the idle time of replicas that the configuration keeps loaded. All replicas of a model count as in use while any is. */
    private static double idleMillisOfKeptReplicas(
            FleetConfig config, Map<ArtifactId, List<UseInterval>> useIntervals, long durationMillis) {
        double idleMillis = 0;
        for (ModelSpec model : config.models()) {
            ArtifactId artifact = ArtifactId.model(model.name());
            double busyMillis = useIntervals.getOrDefault(artifact, List.of()).stream()
                    .mapToDouble(interval -> interval.toMillis() - interval.fromMillis())
                    .sum();
            double keptMillis = (double) model.minReplicas() * durationMillis;
            double unusedMillis = Math.max(0, keptMillis - model.minReplicas() * busyMillis);
            idleMillis += unusedMillis * occupiedAccelerators(config, model.sizeBytes());
        }
        return idleMillis;
    }

    /** Returns the smallest number of accelerators that an artifact of this size occupies on any engine. */
    private static double occupiedAccelerators(FleetConfig config, long sizeBytes) {
        return config.targets().stream()
                .filter(target -> target.memoryBytes() > 0)
                .mapToDouble(target -> (double) sizeBytes / target.memoryBytes() * target.accelerators())
                .min()
                .orElse(0);
    }

    private static List<IdleGap> gaps(FleetConfig config, ArtifactId artifact, List<UseInterval> useIntervals) {
        long sizeBytes = AcceleratorUsage.sizeBytes(config, artifact);
        List<IdleGap> gaps = new ArrayList<>();
        for (int next = 1; next < useIntervals.size(); next++) {
            double millis = useIntervals.get(next).fromMillis()
                    - useIntervals.get(next - 1).toMillis();
            gaps.add(new IdleGap(millis, millis * occupiedAccelerators(config, sizeBytes), sizeBytes));
        }
        return gaps;
    }

    private interface ReloadCost {
        double of(IdleGap gap);
    }

    /**
     * Returns the minimum idle time when the cost of reloads must stay within a budget (fractional knapsack): gaps with the
     * most idle time per cost are closed first, and the last one may be closed partly.
     */
    private static double minIdleMillis(List<IdleGap> gaps, ReloadCost cost, double budget) {
        List<IdleGap> byIdlePerCost = new ArrayList<>(gaps);
        byIdlePerCost.sort(Comparator.comparingDouble(gap -> -gap.idleMillis() / cost.of(gap)));
        double remainingBudget = Math.max(0, budget);
        double idleMillis = 0;
        for (IdleGap gap : byIdlePerCost) {
            double closedFraction = Math.min(1, remainingBudget / cost.of(gap));
            remainingBudget -= closedFraction * cost.of(gap);
            idleMillis += (1 - closedFraction) * gap.idleMillis();
        }
        return idleMillis;
    }

    /**
     * Returns the longest wait when first loads start at the store's rate in order of their latest start without a wait
     * (earliest deadline first). No other order gives a shorter longest wait.
     */
    private static double longestWaitMillis(
            FleetConfig config, Map<ArtifactId, List<UseInterval>> useIntervals, PlatformLimits limits) {
        List<Double> latestStarts = new ArrayList<>();
        for (Map.Entry<ArtifactId, List<UseInterval>> entry : useIntervals.entrySet()) {
            double loadMillis =
                    AcceleratorUsage.sizeBytes(config, entry.getKey()) / limits.bytesPerSecond() * MILLIS_PER_SECOND;
            latestStarts.add(entry.getValue().get(0).fromMillis() - loadMillis);
        }
        latestStarts.sort(Comparator.naturalOrder());
        double longestMillis = 0;
        for (int index = 0; index < latestStarts.size(); index++) {
            double startMillis =
                    Math.max(0, index + 1 - limits.fullSpeedLoads()) / limits.loadsPerSecond() * MILLIS_PER_SECOND;
            longestMillis = Math.max(longestMillis, startMillis - latestStarts.get(index));
        }
        return longestMillis;
    }
}
