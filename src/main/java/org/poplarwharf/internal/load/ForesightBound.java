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
 * What no policy can beat on a trace, also one that knows every request in advance. Immutable and thread-safe.
 *
 * <p>Both figures are lower bounds: each relaxes the problem. The wait ignores memory, and that loads share the store's
 * speed; it keeps the rate at which loads may start. The idle time serves every request warm, ignores memory, and lets
 * loads fall anywhere in the trace; it keeps the sum of loads and of bytes that the store allows. ReplicaCounts that the
 * configuration keeps loaded are idle in both.
 *
 * @param longestWaitMillis the shortest possible longest wait for a first load
 * @param idleMillis accelerator time that is idle however loads are timed
 * @param coldArtifacts artifacts that are asked for and not kept loaded
 */
public record ForesightBound(double longestWaitMillis, double idleMillis, int coldArtifacts) {

    /**
     * The store's limits and the engines' speed.
     *
     * @param places loads at once at full speed
     * @param prefillMillis until an engine's first token
     */
    public record Limits(
            double loadsPerSecond, int places, double bytesPerSecond, long prefillMillis, long tokenMillis) {}

    private static final double MILLIS_PER_SECOND = 1_000;

    /** The use of one artifact: when each run of it begins and ends. */
    private record Run(double fromMillis, double toMillis) {}

    /** A pause between runs that can be held at a cost, or bridged by another load. */
    private record Gap(double millis, double idleMillis, long sizeBytes) {}

    /** Returns the bounds of a trace in the deployment's own time. */
    public static ForesightBound of(FleetConfig config, List<Arrival> trace, Limits limits, long durationMillis) {
        Map<ArtifactId, List<Run>> runs = runs(trace, limits);
        double keptIdleMillis = keptIdle(config, runs, durationMillis);
        runs.keySet().removeIf(artifact -> keptLoaded(config, artifact));
        List<Gap> gaps = new ArrayList<>();
        for (Map.Entry<ArtifactId, List<Run>> use : runs.entrySet()) {
            gaps.addAll(gaps(config, use.getKey(), use.getValue()));
        }
        double loads = limits.places() + durationMillis / MILLIS_PER_SECOND * limits.loadsPerSecond();
        double bytes = durationMillis / MILLIS_PER_SECOND * limits.bytesPerSecond() * limits.places();
        double firstBytes = runs.keySet().stream()
                .mapToDouble(artifact -> IdleTime.sizeBytes(config, artifact))
                .sum();
        double byRate = idleFor(gaps, gap -> 1, loads - runs.size());
        double bySpeed = idleFor(gaps, Gap::sizeBytes, bytes - firstBytes);
        double idleMillis = keptIdleMillis + Math.max(byRate, bySpeed);
        return new ForesightBound(longestWait(config, runs, limits), idleMillis, runs.size());
    }

    private static Map<ArtifactId, List<Run>> runs(List<Arrival> trace, Limits limits) {
        Map<ArtifactId, List<Run>> runs = new TreeMap<>();
        for (Arrival arrival : trace) {
            if (!arrival.path().isEmpty()) {
                continue;
            }
            double serviceMillis = limits.prefillMillis() + (arrival.maxTokens() - 1.0) * limits.tokenMillis();
            Run run = new Run(arrival.atMillis(), arrival.atMillis() + serviceMillis);
            add(runs, arrival.artifact(), run);
            if (arrival.artifact().kind() == ArtifactId.Kind.ADAPTER) {
                add(runs, arrival.artifact().base(), run);
            }
        }
        return runs;
    }

    /** Adds a run, joined with those that it overlaps; runs come in the order of their beginnings. */
    private static void add(Map<ArtifactId, List<Run>> runs, ArtifactId artifact, Run run) {
        List<Run> own = runs.computeIfAbsent(artifact, key -> new ArrayList<>());
        Run last = own.isEmpty() ? null : own.get(own.size() - 1);
        if (last != null && last.toMillis() >= run.fromMillis()) {
            own.set(own.size() - 1, new Run(last.fromMillis(), Math.max(last.toMillis(), run.toMillis())));
            return;
        }
        own.add(run);
    }

    private static boolean keptLoaded(FleetConfig config, ArtifactId artifact) {
        return artifact.kind() == ArtifactId.Kind.MODEL
                && config.model(artifact.name())
                        .map(model -> model.minReplicas() > 0)
                        .orElse(false);
    }

    /** Returns the idle time of replicas that are kept loaded, all taken to be in use whenever one is. */
    private static double keptIdle(FleetConfig config, Map<ArtifactId, List<Run>> runs, long durationMillis) {
        double idleMillis = 0;
        for (ModelSpec model : config.models()) {
            ArtifactId artifact = ArtifactId.model(model.name());
            double busyMillis = runs.getOrDefault(artifact, List.of()).stream()
                    .mapToDouble(run -> run.toMillis() - run.fromMillis())
                    .sum();
            double keptMillis = (double) model.minReplicas() * durationMillis;
            double unusedMillis = Math.max(0, keptMillis - model.minReplicas() * busyMillis);
            idleMillis += unusedMillis * acceleratorShare(config, model.sizeBytes());
        }
        return idleMillis;
    }

    /** Returns the least share of accelerators that a size takes on any engine. */
    private static double acceleratorShare(FleetConfig config, long sizeBytes) {
        return config.targets().stream()
                .filter(target -> target.memoryBytes() > 0)
                .mapToDouble(target -> (double) sizeBytes / target.memoryBytes() * target.accelerators())
                .min()
                .orElse(0);
    }

    private static List<Gap> gaps(FleetConfig config, ArtifactId artifact, List<Run> runs) {
        long sizeBytes = IdleTime.sizeBytes(config, artifact);
        List<Gap> gaps = new ArrayList<>();
        for (int next = 1; next < runs.size(); next++) {
            double millis = runs.get(next).fromMillis() - runs.get(next - 1).toMillis();
            gaps.add(new Gap(millis, millis * acceleratorShare(config, sizeBytes), sizeBytes));
        }
        return gaps;
    }

    private interface Price {
        double of(Gap gap);
    }

    /** Returns the least idle time when bridging gaps by loads must stay within a budget; the last gap may be split. */
    private static double idleFor(List<Gap> gaps, Price price, double budget) {
        List<Gap> byWorth = new ArrayList<>(gaps);
        byWorth.sort(Comparator.comparingDouble(gap -> -gap.idleMillis() / price.of(gap)));
        double left = Math.max(0, budget);
        double idleMillis = 0;
        for (Gap gap : byWorth) {
            double bridged = Math.min(1, left / price.of(gap));
            left -= bridged * price.of(gap);
            idleMillis += (1 - bridged) * gap.idleMillis();
        }
        return idleMillis;
    }

    /** Starts first loads at the store's rate, the latest possible start first; no order has a shorter longest wait. */
    private static double longestWait(FleetConfig config, Map<ArtifactId, List<Run>> runs, Limits limits) {
        List<Double> latestStarts = new ArrayList<>();
        for (Map.Entry<ArtifactId, List<Run>> use : runs.entrySet()) {
            double loadMillis = IdleTime.sizeBytes(config, use.getKey()) / limits.bytesPerSecond() * MILLIS_PER_SECOND;
            latestStarts.add(use.getValue().get(0).fromMillis() - loadMillis);
        }
        latestStarts.sort(Comparator.naturalOrder());
        double longest = 0;
        for (int load = 0; load < latestStarts.size(); load++) {
            double startMillis = Math.max(0, load + 1 - limits.places()) / limits.loadsPerSecond() * MILLIS_PER_SECOND;
            longest = Math.max(longest, startMillis - latestStarts.get(load));
        }
        return longest;
    }
}
