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
 * The artifacts that an engine stand-in holds in memory, and how they come and go.
 *
 * <p>Invariant: an artifact takes its memory from the order's start until its unload has ended; nothing is refused for want
 * of memory, an overcommitment is journalled. An order that meets a change under way takes effect after it. Belongs to
 * one reactor thread.
 */
final class EngineMemory {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double ALMOST_LOADED = 0.99;
    private static final long IDLE_CHECK_MILLIS = 5;

    private final NioReactor reactor;
    private final EngineSettings settings;
    private final Journal<EngineEvent> journal;
    private final WeightSource weights;
    private final Predicate<ArtifactId> inUse;
    private final MonotonicClock clock = MonotonicClock.system();
    private final Map<ArtifactId, Slot> slots = new TreeMap<>();
    private final Set<ArtifactId> nearCopies = new LinkedHashSet<>();
    private boolean dead;

    EngineMemory(
            NioReactor reactor,
            EngineSettings settings,
            Journal<EngineEvent> journal,
            WeightSource weights,
            Predicate<ArtifactId> inUse) {
        this.reactor = reactor;
        this.settings = settings;
        this.journal = journal;
        this.weights = weights;
        this.inUse = inUse;
        nearCopies.addAll(settings.nearCopies());
    }

    /** Carries an order out, now or after the change under way. */
    EngineEvent.Effect carryOut(Order order) {
        return switch (order.kind()) {
            case LOAD -> orderLoad(order);
            case UNLOAD -> orderUnload(order);
        };
    }

    /** Tells whether requests for the artifact can run. */
    boolean serves(ArtifactId artifact) {
        return isLoaded(artifact) && isLoaded(artifact.base());
    }

    long usedBytes() {
        return slots.values().stream().mapToLong(slot -> slot.order.sizeBytes()).sum();
    }

    List<HeldArtifact> held() {
        return slots.values().stream().map(this::held).toList();
    }

    List<ArtifactId> nearCopies() {
        return List.copyOf(nearCopies);
    }

    void die() {
        dead = true;
        slots.clear();
    }

    private boolean isLoaded(ArtifactId artifact) {
        Slot slot = slots.get(artifact);
        return slot != null && slot.state == ArtifactState.LOADED;
    }

    private EngineEvent.Effect orderLoad(Order order) {
        Slot slot = slots.get(order.artifact());
        if (slot == null) {
            startLoad(order);
            return EngineEvent.Effect.STARTED;
        }
        boolean sameVersion = slot.order.version().equals(order.version());
        return switch (slot.state) {
            case UNLOADING -> defer(slot, order);
            case LOADING -> sameVersion ? nothing(slot) : defer(slot, order);
            case LOADED -> {
                if (sameVersion) {
                    yield nothing(slot);
                }
                startLoad(order);
                yield EngineEvent.Effect.STARTED;
            }
        };
    }

    private EngineEvent.Effect orderUnload(Order order) {
        Slot slot = slots.get(order.artifact());
        if (slot == null) {
            return EngineEvent.Effect.NOTHING_TO_DO;
        }
        return switch (slot.state) {
            case LOADING -> defer(slot, order);
            case UNLOADING -> nothing(slot);
            case LOADED -> {
                startUnload(slot);
                yield EngineEvent.Effect.STARTED;
            }
        };
    }

    private static EngineEvent.Effect nothing(Slot slot) {
        slot.next = Optional.empty();
        return EngineEvent.Effect.NOTHING_TO_DO;
    }

    private static EngineEvent.Effect defer(Slot slot, Order order) {
        slot.next = Optional.of(order);
        return EngineEvent.Effect.DEFERRED;
    }

    private void startLoad(Order order) {
        Slot slot = new Slot(order, clock.nowMillis());
        slots.put(order.artifact(), slot);
        changed(slot, EngineEvent.State.LOADING);
        long used = usedBytes();
        if (used > settings.memoryBytes()) {
            journal.add(new EngineEvent.Breached(order.artifact(), used, settings.memoryBytes()));
        }
        fetch(order).whenComplete((ignored, failure) -> {
            if (dead) {
                return;
            }
            if (failure == null) {
                finishLoad(slot);
            } else {
                remove(slot, EngineEvent.State.LOAD_FAILED);
            }
        });
    }

    private Promise<Void> fetch(Order order) {
        boolean near =
                nearCopies.contains(order.artifact()) || settings.storeAddress().isEmpty();
        if (!near) {
            return weights.fetch(order.sizeBytes());
        }
        long millis = (long) (order.sizeBytes() / settings.nearBytesPerSecond() * MILLIS_PER_SECOND);
        return Promises.delay(reactor, Math.max(1, millis));
    }

    private void finishLoad(Slot slot) {
        slot.state = ArtifactState.LOADED;
        keepNear(slot.order.artifact());
        changed(slot, EngineEvent.State.LOADED);
        carryOutNext(slot);
    }

    private void keepNear(ArtifactId artifact) {
        nearCopies.remove(artifact);
        nearCopies.add(artifact);
        while (nearCopies.size() > settings.nearCopyLimit()) {
            nearCopies.remove(nearCopies.iterator().next());
        }
    }

    private void startUnload(Slot slot) {
        slot.state = ArtifactState.UNLOADING;
        changed(slot, EngineEvent.State.UNLOADING);
        reactor.delayBackground(Math.max(1, settings.unloadMillis()), () -> finishUnload(slot));
    }

    private void finishUnload(Slot slot) {
        if (dead) {
            return;
        }
        if (inUse.test(slot.order.artifact())) {
            reactor.delayBackground(IDLE_CHECK_MILLIS, () -> finishUnload(slot));
            return;
        }
        remove(slot, EngineEvent.State.ABSENT);
        adaptersOf(slot.order.artifact()).forEach(adapter -> remove(adapter, EngineEvent.State.ABSENT));
    }

    private List<Slot> adaptersOf(ArtifactId base) {
        if (base.kind() != ArtifactId.Kind.MODEL) {
            return List.of();
        }
        List<Slot> adapters = new ArrayList<>();
        for (Slot slot : slots.values()) {
            ArtifactId artifact = slot.order.artifact();
            if (artifact.kind() == ArtifactId.Kind.ADAPTER
                    && artifact.base().equals(base)
                    && slot.state == ArtifactState.LOADED) {
                adapters.add(slot);
            }
        }
        return adapters;
    }

    private void remove(Slot slot, EngineEvent.State state) {
        slots.remove(slot.order.artifact(), slot);
        changed(slot, state);
        carryOutNext(slot);
    }

    private void carryOutNext(Slot slot) {
        Optional<Order> next = slot.next;
        slot.next = Optional.empty();
        next.ifPresent(this::carryOut);
    }

    private void changed(Slot slot, EngineEvent.State state) {
        journal.add(new EngineEvent.StateChanged(
                slot.order.artifact(), slot.order.version(), state, usedBytes(), slots.size()));
    }

    private HeldArtifact held(Slot slot) {
        Order order = slot.order;
        return new HeldArtifact(order.artifact(), order.version(), slot.state, order.sizeBytes(), fraction(slot));
    }

    private double fraction(Slot slot) {
        if (slot.state != ArtifactState.LOADING) {
            return 1;
        }
        double seconds = (clock.nowMillis() - slot.sinceMillis) / MILLIS_PER_SECOND;
        double bytes = seconds * weights.expectedBytesPerSecond();
        return Math.min(ALMOST_LOADED, bytes / Math.max(1, slot.order.sizeBytes()));
    }

    private static final class Slot {
        private final Order order;
        private final long sinceMillis;
        private ArtifactState state = ArtifactState.LOADING;
        private Optional<Order> next = Optional.empty();

        private Slot(Order order, long sinceMillis) {
            this.order = order;
            this.sinceMillis = sinceMillis;
        }
    }
}
