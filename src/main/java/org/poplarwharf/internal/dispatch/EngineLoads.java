package org.poplarwharf.internal.dispatch;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.poplarwharf.internal.fleet.EngineModelSpec;

/**
 * What a target loads and is to load next, in this dispatcher's view. Confined to one thread.
 *
 * <p>Invariant: a target that carries out an order that isn't known here has no next load; nothing is planned there.
 */
final class EngineLoads {
    /** A load that exceeds its expected time by this share shows that the store serves too many concurrent loads. */
    private static final double LATE_LOAD_RATIO = 0.3;

    /** The time in which the running requests of a draining model end; responses take about two seconds. */
    static final long DRAIN_MILLIS = 2_000;

    private final EngineState engine;

    /** The model to be loaded next, for which others may have to be evicted first. */
    Optional<String> nextModel = Optional.empty();

    /** When the next model was planned. */
    long nextPlannedMillis;

    /** Until then no load is planned here, since the last plan could not be carried out. */
    long plansPausedUntilMillis;

    /** Since when reports state an order in progress that isn't known here, as of an earlier lease holder. */
    private OptionalLong otherOrderSinceMillis = OptionalLong.empty();

    /** Whether the next model is held at another target, where it is to be evicted once it is loaded here. */
    boolean nextIsRelocation;

    EngineLoads(EngineState engine) {
        this.engine = engine;
    }

    /** Records that a report states an order in progress which was not sent from here. */
    void recordOtherOrder(long nowMillis) {
        if (otherOrderSinceMillis.isEmpty()) {
            otherOrderSinceMillis = OptionalLong.of(nowMillis);
            cancelNextLoad();
        }
    }

    /** Records that a report states no order in progress. */
    void recordNoOrder() {
        otherOrderSinceMillis = OptionalLong.empty();
    }

    /** Returns whether the model is to be loaded next. */
    boolean loadsNext(String model) {
        return nextModel.isPresent() && nextModel.get().equals(model);
    }

    /** Returns whether a load from the weight store is in progress. */
    boolean isLoadingFromStore() {
        for (ModelInstance instance : engine.models.values()) {
            if (instance.unconfirmed) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the next model would be loaded from the weight store. */
    boolean nextLoadsFromStore() {
        return nextModel
                .map(engine.spec.models()::get)
                .filter(engine::loadsFromStore)
                .isPresent();
    }

    /** Returns the model that is being loaded from the weight store, as far as known. */
    Optional<String> modelLoadingFromStore() {
        for (Map.Entry<String, ModelInstance> entry : engine.models.entrySet()) {
            if (entry.getValue().unconfirmed) {
                return Optional.of(entry.getKey());
            }
        }
        return Optional.empty();
    }

    /** Returns whether a load from the store is planned, ordered or in progress, or an order that may be one. */
    boolean occupiesStore() {
        return isLoadingFromStore() || nextLoadsFromStore() || isOccupiedByOtherOrder();
    }

    /** Returns whether the target carries out an order that isn't known here. */
    boolean isOccupiedByOtherOrder() {
        return otherOrderSinceMillis.isPresent();
    }

    /** Returns whether the model's load from the store takes clearly longer than the store needs at full speed. */
    boolean isLoadLate(String model, long nowMillis) {
        ModelInstance instance = engine.models.get(model);
        EngineModelSpec modelSpec = engine.spec.models().get(model);
        return instance != null
                && modelSpec != null
                && instance.unconfirmed
                && nowMillis - instance.readyAtMillis > modelSpec.storeLoadMillis() * LATE_LOAD_RATIO;
    }

    /** Returns whether a load is in progress, during which the target takes no other order. */
    boolean isLoading(long nowMillis) {
        if (isOccupiedByOtherOrder()) {
            return true;
        }
        for (ModelInstance instance : engine.models.values()) {
            if (!instance.isReady(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a load should be done by now but hasn't been confirmed by a report. */
    boolean hasUnconfirmedLoad(long nowMillis) {
        for (ModelInstance instance : engine.models.values()) {
            if (instance.unconfirmed && instance.readyAtMillis <= nowMillis) {
                return true;
            }
        }
        return false;
    }

    /** Returns the time at which the loads in progress and the next load are expected to be done. */
    long loadsDoneMillis(long nowMillis) {
        long doneMillis = nowMillis;
        boolean mustDrain = false;
        for (ModelInstance instance : engine.models.values()) {
            if (!instance.isReady(nowMillis) && instance.readyAtMillis < ModelInstance.UNKNOWN_MILLIS) {
                doneMillis = Math.max(doneMillis, instance.expectedReadyMillis(nowMillis));
            }
            mustDrain |= instance.draining && instance.runCount > 0;
        }
        if (isOccupiedByOtherOrder()) {
            doneMillis =
                    Math.max(doneMillis, ModelInstance.expectedEndMillis(otherOrderSinceMillis.getAsLong(), nowMillis));
        }
        if (nextModel.isEmpty()) {
            return doneMillis;
        }
        EngineModelSpec next = engine.spec.models().get(nextModel.get());
        return doneMillis + (next == null ? 0 : engine.loadMillis(next)) + (mustDrain ? DRAIN_MILLIS : 0);
    }

    /** Returns whether a model that is to be evicted still has runs. */
    boolean isDraining() {
        for (ModelInstance instance : engine.models.values()) {
            if (instance.draining && instance.runCount > 0) {
                return true;
            }
        }
        return false;
    }

    /** Cancels the next load and stops draining the models that were to be evicted for it. */
    void cancelNextLoad() {
        nextModel = Optional.empty();
        engine.models.values().forEach(instance -> instance.draining = false);
    }
}
