package org.poplarwharf.internal.standin;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.EngineDialect.ArtifactState;
import org.poplarwharf.plugins.EngineDialect.HeldArtifact;
import org.poplarwharf.plugins.EngineDialect.Order;

/**
 * The artifacts in the memory of an engine stand-in; loads and unloads them on order.
 *
 * <p>Invariant: an artifact uses memory from the start of its load until the end of its unload. No load is refused for lack
 * of memory; exceeding it is journalled instead. An order for an artifact that is still loading or unloading takes effect
 * after that. Confined to one reactor thread.
 */
final class EngineMemory {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_LOADING_FRACTION = 0.99;
    private static final long UNLOAD_RETRY_MILLIS = 5;

    private final NioReactor reactor;
    private final EngineSettings settings;
    private final Journal<EngineEvent> journal;
    private final WeightStoreClient weightStore;
    private final Predicate<ArtifactId> isInUse;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Map<ArtifactId, ArtifactInstance> instances = new TreeMap<>();
    private final Set<ArtifactId> nearCopies = new LinkedHashSet<>();
    private boolean discarded;

    EngineMemory(
            NioReactor reactor,
            EngineSettings settings,
            Journal<EngineEvent> journal,
            WeightStoreClient weightStore,
            Predicate<ArtifactId> isInUse) {
        this.reactor = reactor;
        this.settings = settings;
        this.journal = journal;
        this.weightStore = weightStore;
        this.isInUse = isInUse;
        nearCopies.addAll(settings.nearCopies());
    }

    /** Executes an order now, or defers it until the artifact's current load or unload ends. */
    EngineEvent.Effect execute(Order order) {
        return switch (order.kind()) {
            case LOAD -> orderLoad(order);
            case UNLOAD -> orderUnload(order);
        };
    }

    /** Returns whether requests for the artifact can run: it and its base model are loaded. */
    boolean canServe(ArtifactId artifact) {
        return isLoaded(artifact) && isLoaded(artifact.base());
    }

    long usedBytes() {
        return instances.values().stream()
                .mapToLong(instance -> instance.order.sizeBytes())
                .sum();
    }

    List<HeldArtifact> heldArtifacts() {
        return instances.values().stream().map(this::held).toList();
    }

    List<ArtifactId> nearCopies() {
        return List.copyOf(nearCopies);
    }

    /** Drops all artifacts; loads and unloads in progress no longer have an effect. */
    void discardAll() {
        discarded = true;
        instances.clear();
    }

    private boolean isLoaded(ArtifactId artifact) {
        ArtifactInstance instance = instances.get(artifact);
        return instance != null && instance.state == ArtifactState.LOADED;
    }

    private EngineEvent.Effect orderLoad(Order order) {
        ArtifactInstance instance = instances.get(order.artifact());
        if (instance == null) {
            startLoad(order);
            return EngineEvent.Effect.STARTED;
        }
        boolean sameVersion = instance.order.version().equals(order.version());
        return switch (instance.state) {
            case UNLOADING -> defer(instance, order);
            case LOADING -> sameVersion ? cancelDeferred(instance) : defer(instance, order);
            case LOADED -> {
                if (sameVersion) {
                    yield cancelDeferred(instance);
                }
                startLoad(order);
                yield EngineEvent.Effect.STARTED;
            }
        };
    }

    private EngineEvent.Effect orderUnload(Order order) {
        ArtifactInstance instance = instances.get(order.artifact());
        if (instance == null) {
            return EngineEvent.Effect.NOTHING_TO_DO;
        }
        return switch (instance.state) {
            case LOADING -> defer(instance, order);
            case UNLOADING -> cancelDeferred(instance);
            case LOADED -> {
                startUnload(instance);
                yield EngineEvent.Effect.STARTED;
            }
        };
    }

    private static EngineEvent.Effect cancelDeferred(ArtifactInstance instance) {
        instance.deferred = Optional.empty();
        return EngineEvent.Effect.NOTHING_TO_DO;
    }

    private static EngineEvent.Effect defer(ArtifactInstance instance, Order order) {
        instance.deferred = Optional.of(order);
        return EngineEvent.Effect.DEFERRED;
    }

    private void startLoad(Order order) {
        ArtifactInstance instance = new ArtifactInstance(order, clock.nowMillis());
        instances.put(order.artifact(), instance);
        journalChange(instance, EngineEvent.State.LOADING);
        long usedBytes = usedBytes();
        if (usedBytes > settings.memoryBytes()) {
            journal.add(new EngineEvent.MemoryExceeded(order.artifact(), usedBytes, settings.memoryBytes()));
        }
        fetch(order).whenComplete((ignored, failure) -> {
            if (discarded) {
                return;
            }
            if (failure == null) {
                finishLoad(instance);
            } else {
                remove(instance, EngineEvent.State.LOAD_FAILED);
            }
        });
    }

    private Promise<Void> fetch(Order order) {
        boolean isNear =
                nearCopies.contains(order.artifact()) || settings.storeAddress().isEmpty();
        if (!isNear) {
            return weightStore.fetch(order.sizeBytes());
        }
        long millis = (long) (order.sizeBytes() / settings.nearBytesPerSecond() * MILLIS_PER_SECOND);
        return Promises.delay(reactor, Math.max(1, millis));
    }

    private void finishLoad(ArtifactInstance instance) {
        instance.state = ArtifactState.LOADED;
        rememberNearCopy(instance.order.artifact());
        journalChange(instance, EngineEvent.State.LOADED);
        executeDeferred(instance);
    }

    private void rememberNearCopy(ArtifactId artifact) {
        nearCopies.remove(artifact);
        nearCopies.add(artifact);
        while (nearCopies.size() > settings.nearCopyLimit()) {
            nearCopies.remove(nearCopies.iterator().next());
        }
    }

    private void startUnload(ArtifactInstance instance) {
        instance.state = ArtifactState.UNLOADING;
        journalChange(instance, EngineEvent.State.UNLOADING);
        reactor.delayBackground(Math.max(1, settings.unloadMillis()), () -> finishUnload(instance));
    }

    private void finishUnload(ArtifactInstance instance) {
        if (discarded) {
            return;
        }
        if (isInUse.test(instance.order.artifact())) {
            reactor.delayBackground(UNLOAD_RETRY_MILLIS, () -> finishUnload(instance));
            return;
        }
        remove(instance, EngineEvent.State.ABSENT);
        adaptersOf(instance.order.artifact()).forEach(adapter -> remove(adapter, EngineEvent.State.ABSENT));
    }

    private List<ArtifactInstance> adaptersOf(ArtifactId base) {
        if (base.kind() != ArtifactId.Kind.MODEL) {
            return List.of();
        }
        List<ArtifactInstance> adapters = new ArrayList<>();
        for (ArtifactInstance instance : instances.values()) {
            ArtifactId artifact = instance.order.artifact();
            if (artifact.kind() == ArtifactId.Kind.ADAPTER
                    && artifact.base().equals(base)
                    && instance.state == ArtifactState.LOADED) {
                adapters.add(instance);
            }
        }
        return adapters;
    }

    private void remove(ArtifactInstance instance, EngineEvent.State state) {
        instances.remove(instance.order.artifact(), instance);
        journalChange(instance, state);
        executeDeferred(instance);
    }

    private void executeDeferred(ArtifactInstance instance) {
        Optional<Order> deferred = instance.deferred;
        instance.deferred = Optional.empty();
        deferred.ifPresent(this::execute);
    }

    private void journalChange(ArtifactInstance instance, EngineEvent.State state) {
        journal.add(new EngineEvent.StateChanged(
                instance.order.artifact(), instance.order.version(), state, usedBytes(), instances.size()));
    }

    private HeldArtifact held(ArtifactInstance instance) {
        Order order = instance.order;
        return new HeldArtifact(
                order.artifact(), order.version(), instance.state, order.sizeBytes(), loadedFraction(instance));
    }

    private double loadedFraction(ArtifactInstance instance) {
        if (instance.state != ArtifactState.LOADING) {
            return 1;
        }
        double seconds = (clock.nowMillis() - instance.loadStartMillis) / MILLIS_PER_SECOND;
        double bytes = seconds * weightStore.expectedBytesPerSecond();
        return Math.min(MAX_LOADING_FRACTION, bytes / Math.max(1, instance.order.sizeBytes()));
    }

    private static final class ArtifactInstance {
        private final Order order;
        private final long loadStartMillis;
        private ArtifactState state = ArtifactState.LOADING;
        private Optional<Order> deferred = Optional.empty();

        private ArtifactInstance(Order order, long loadStartMillis) {
            this.order = order;
            this.loadStartMillis = loadStartMillis;
        }
    }
}
