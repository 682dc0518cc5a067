package org.poplarwharf.internal.load;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.config.FleetConfig.AdapterSpec;
import org.poplarwharf.internal.config.FleetConfig.ModelSpec;
import org.poplarwharf.internal.config.FleetConfig.TargetSpec;
import org.poplarwharf.internal.standin.EngineEvent;
import org.poplarwharf.internal.standin.EngineEvent.RequestEnded;
import org.poplarwharf.internal.standin.EngineEvent.RequestStarted;
import org.poplarwharf.internal.standin.EngineEvent.State;
import org.poplarwharf.internal.standin.EngineEvent.StateChanged;
import org.poplarwharf.internal.standin.Journal;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Computes how long the accelerators of an engine were loaded and idle, from the journal of its stand-in.
 *
 * <p>Idle time is the time during which an artifact was loaded and no request for it ran, multiplied by the number of
 * accelerators that the artifact occupies (its share of the engine's memory times the engine's accelerators). A request for
 * an adapter also uses the base model. Loading and unloading count neither as loaded nor as idle. Not thread-safe.
 */
public final class AcceleratorUsage {
    private final FleetConfig config;
    private final TargetSpec target;
    private final long startMillis;
    private final long endMillis;
    private final Set<ArtifactId> loadedArtifacts = new HashSet<>();
    private final Map<ArtifactId, Integer> runningRequests = new HashMap<>();
    private final Map<String, ArtifactId> artifactByRequestId = new HashMap<>();
    private double idleMillis;
    private double loadedMillis;
    private int loads;
    private int breaches;

    private AcceleratorUsage(FleetConfig config, TargetSpec target, long startMillis, long endMillis) {
        this.config = config;
        this.target = target;
        this.startMillis = startMillis;
        this.endMillis = endMillis;
    }

    /**
     * Totals over several engines. Immutable and thread-safe.
     *
     * @param idleMillis accelerator time in which an artifact was loaded and not in use
     * @param loadedMillis accelerator time in which an artifact was loaded
     * @param loads number of loads that began in the time window
     * @param breaches number of times that an engine exceeded its memory, also outside the time window
     */
    public record Totals(double idleMillis, double loadedMillis, int loads, int breaches) {
        private Totals plus(Totals other) {
            return new Totals(
                    idleMillis + other.idleMillis,
                    loadedMillis + other.loadedMillis,
                    loads + other.loads,
                    breaches + other.breaches);
        }
    }

    /** Computes the totals over all engines between two times of the journals' clock. */
    public static Totals of(
            FleetConfig config,
            Map<String, List<Journal.Entry<EngineEvent>>> journals,
            long startMillis,
            long endMillis) {
        Totals total = new Totals(0, 0, 0, 0);
        for (Map.Entry<String, List<Journal.Entry<EngineEvent>>> journalOfTarget : journals.entrySet()) {
            TargetSpec target = config.target(journalOfTarget.getKey()).orElseThrow();
            total = total.plus(
                    new AcceleratorUsage(config, target, startMillis, endMillis).replay(journalOfTarget.getValue()));
        }
        return total;
    }

    private Totals replay(List<Journal.Entry<EngineEvent>> entries) {
        long atMillis = startMillis;
        for (Journal.Entry<EngineEvent> entry : entries) {
            long eventMillis = Math.min(endMillis, Math.max(startMillis, entry.atMillis()));
            accumulate(eventMillis - atMillis);
            atMillis = eventMillis;
            apply(entry);
        }
        accumulate(endMillis - atMillis);
        return new Totals(idleMillis, loadedMillis, loads, breaches);
    }

    private void accumulate(long millis) {
        for (ArtifactId artifact : loadedArtifacts) {
            double acceleratorMillis = millis * occupiedAccelerators(artifact);
            loadedMillis += acceleratorMillis;
            if (runningRequests.getOrDefault(artifact, 0) == 0) {
                idleMillis += acceleratorMillis;
            }
        }
    }

    private double occupiedAccelerators(ArtifactId artifact) {
        return (double) sizeBytes(config, artifact) / target.memoryBytes() * target.accelerators();
    }

    private void apply(Journal.Entry<EngineEvent> entry) {
        switch (entry.event()) {
            case StateChanged changed -> applyStateChange(entry.atMillis(), changed);
            case RequestStarted started -> {
                artifactByRequestId.put(started.requestId(), started.artifact());
                addRunning(started.artifact(), 1);
            }
            case RequestEnded ended -> {
                ArtifactId artifact = artifactByRequestId.remove(ended.requestId());
                if (artifact != null) {
                    addRunning(artifact, -1);
                }
            }
            case EngineEvent.Crashed crashed -> {
                loadedArtifacts.clear();
                runningRequests.clear();
                artifactByRequestId.clear();
            }
            case EngineEvent.MemoryExceeded breached -> breaches++;
            case EngineEvent.OrderReceived ordered -> {
                // The state changes that an order causes are journalled as separate events.
            }
        }
    }

    private void applyStateChange(long atMillis, StateChanged changed) {
        if (changed.state() == State.LOADING && atMillis >= startMillis && atMillis < endMillis) {
            loads++;
        }
        if (changed.state() == State.LOADED) {
            loadedArtifacts.add(changed.artifact());
        } else {
            loadedArtifacts.remove(changed.artifact());
        }
    }

    private void addRunning(ArtifactId artifact, int delta) {
        runningRequests.merge(artifact, delta, Integer::sum);
        if (artifact.kind() == ArtifactId.Kind.ADAPTER) {
            runningRequests.merge(artifact.base(), delta, Integer::sum);
        }
    }

    /** Returns the size of a model or an adapter, or zero if it is not configured. */
    static long sizeBytes(FleetConfig config, ArtifactId artifact) {
        ModelSpec model = config.model(artifact.name()).orElse(null);
        if (model == null) {
            return 0;
        }
        if (artifact.kind() == ArtifactId.Kind.MODEL) {
            return model.sizeBytes();
        }
        return model.adapters().stream()
                .filter(adapter -> adapter.name().equals(artifact.adapter()))
                .mapToLong(AdapterSpec::sizeBytes)
                .findFirst()
                .orElse(0);
    }
}
