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
 * The idle accelerator time of one engine, from its journal: the time during which an artifact was loaded while no
 * request for it ran there, times the share of the engine's accelerators that the artifact takes.
 *
 * <p>A request for an adapter uses its base too. Loading and unloading count as neither idle nor in use. Used by one
 * thread.
 */
public final class IdleTime {
    private final FleetConfig config;
    private final TargetSpec target;
    private final long startMillis;
    private final long endMillis;
    private final Set<ArtifactId> loaded = new HashSet<>();
    private final Map<ArtifactId, Integer> running = new HashMap<>();
    private final Map<String, ArtifactId> requests = new HashMap<>();
    private double idleMillis;
    private double loadedMillis;
    private int loads;
    private int breaches;

    private IdleTime(FleetConfig config, TargetSpec target, long startMillis, long endMillis) {
        this.config = config;
        this.target = target;
        this.startMillis = startMillis;
        this.endMillis = endMillis;
    }

    /**
     * Sums over engines.
     *
     * @param idleMillis accelerator time in which something was loaded and unused
     * @param loadedMillis accelerator time in which something was loaded
     * @param loads loads that began in the window
     * @param breaches how often more memory was taken than there is, at any time
     */
    public record Figures(double idleMillis, double loadedMillis, int loads, int breaches) {
        private Figures plus(Figures other) {
            return new Figures(
                    idleMillis + other.idleMillis,
                    loadedMillis + other.loadedMillis,
                    loads + other.loads,
                    breaches + other.breaches);
        }
    }

    /** Returns the sums over all engines from one time to another. */
    public static Figures of(
            FleetConfig config,
            Map<String, List<Journal.Entry<EngineEvent>>> journals,
            long startMillis,
            long endMillis) {
        Figures sum = new Figures(0, 0, 0, 0);
        for (Map.Entry<String, List<Journal.Entry<EngineEvent>>> journal : journals.entrySet()) {
            TargetSpec target = config.target(journal.getKey()).orElseThrow();
            sum = sum.plus(new IdleTime(config, target, startMillis, endMillis).read(journal.getValue()));
        }
        return sum;
    }

    private Figures read(List<Journal.Entry<EngineEvent>> entries) {
        long atMillis = startMillis;
        for (Journal.Entry<EngineEvent> entry : entries) {
            long eventMillis = Math.min(endMillis, Math.max(startMillis, entry.atMillis()));
            pass(eventMillis - atMillis);
            atMillis = eventMillis;
            take(entry);
        }
        pass(endMillis - atMillis);
        return new Figures(idleMillis, loadedMillis, loads, breaches);
    }

    private void pass(long millis) {
        for (ArtifactId artifact : loaded) {
            double acceleratorMillis = millis * acceleratorShare(artifact);
            loadedMillis += acceleratorMillis;
            if (running.getOrDefault(artifact, 0) == 0) {
                idleMillis += acceleratorMillis;
            }
        }
    }

    private double acceleratorShare(ArtifactId artifact) {
        return (double) sizeBytes(config, artifact) / target.memoryBytes() * target.accelerators();
    }

    private void take(Journal.Entry<EngineEvent> entry) {
        switch (entry.event()) {
            case StateChanged changed -> changed(entry.atMillis(), changed);
            case RequestStarted started -> {
                requests.put(started.requestId(), started.artifact());
                count(started.artifact(), 1);
            }
            case RequestEnded ended -> {
                ArtifactId artifact = requests.remove(ended.requestId());
                if (artifact != null) {
                    count(artifact, -1);
                }
            }
            case EngineEvent.Crashed crashed -> {
                loaded.clear();
                running.clear();
                requests.clear();
            }
            case EngineEvent.Breached breached -> breaches++;
            case EngineEvent.Ordered ordered -> {
                // An order shows in the state that it changes.
            }
        }
    }

    private void changed(long atMillis, StateChanged changed) {
        if (changed.state() == State.LOADING && atMillis >= startMillis && atMillis < endMillis) {
            loads++;
        }
        if (changed.state() == State.LOADED) {
            loaded.add(changed.artifact());
        } else {
            loaded.remove(changed.artifact());
        }
    }

    private void count(ArtifactId artifact, int added) {
        running.merge(artifact, added, Integer::sum);
        if (artifact.kind() == ArtifactId.Kind.ADAPTER) {
            running.merge(artifact.base(), added, Integer::sum);
        }
    }

    /** Returns the size of a model or an adapter; zero for one that is not configured. */
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
