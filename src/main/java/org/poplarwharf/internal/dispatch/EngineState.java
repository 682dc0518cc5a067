package org.poplarwharf.internal.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.LoadedModel;
import org.poplarwharf.internal.fleet.Target;

/**
 * What the dispatcher believes of one incarnation of a target. Confined to one thread.
 */
final class EngineState {
    /** Check-ins older than this, counted from the last order, may not show its effect yet. */
    private static final long CHECK_IN_LAG_MILLIS = 3_500;

    /** A target that is busy with an order of another holder is asked again after this. */
    private static final long BUSY_MILLIS = 250;

    /** Reports asked for sooner than this after an order may not show its effect yet; several times their age. */
    private static final long SETTLED_MILLIS = 1_200;

    /** Share of a new observation in the estimate of how slow a target is. */
    private static final double SLOWNESS_WEIGHT = 0.3;

    private static final double LEAST_SLOWNESS = 0.5;
    private static final double MOST_SLOWNESS = 30;

    /** After this time without an answer half of a target's slowness is forgotten, so that it is tried again. */
    private static final double SLOWNESS_FADE_MILLIS = 4_000;

    /** The time until the requests under way of a model that makes way have ended; answers take two seconds or so. */
    static final long DRAIN_MILLIS = 2_000;

    /** Streams last two seconds or so; what was read before that harms none that start now. */
    private static final double READ_FADE_MILLIS = 4_000;

    private static final long FIRST_SUSPICION_MILLIS = 500;
    private static final long LONGEST_SUSPICION_MILLIS = 4_000;

    Target target;
    EngineSpec spec;
    final Map<String, Residency> models = new HashMap<>();
    final Set<String> inMemory = new HashSet<>();
    final Set<String> onDisk = new HashSet<>();
    final Map<String, Run> running = new HashMap<>();
    final PromptCache prompts;
    Optional<EngineOrder> orderUnderWay = Optional.empty();
    OptionalLong ordersAccepted = OptionalLong.empty();
    boolean reportAsked;
    int conflictsInRow;
    Optional<Residency> leaving = Optional.empty();
    Optional<String> wantedModel = Optional.empty();

    /** Whether the model that is next has been loaded elsewhere until now, where it is to make way. */
    boolean wantedIsMoved;

    long nextOrderMillis;
    long lastOrderMillis = Long.MIN_VALUE / 2;
    long reportAskedMillis;
    long prefillFreeMillis;
    private final Suspicion suspicion = new Suspicion(FIRST_SUSPICION_MILLIS, LONGEST_SUSPICION_MILLIS);
    private long committedTokens;
    private double readShare;
    private long readShareMillis;
    private double slowness = 1;
    private long slownessMillis;

    /** A request that was granted. */
    record Run(Wish wish, long estimateMillis, long tokens) {}

    EngineState(Target target, EngineSpec spec, long nowMillis) {
        this.target = target;
        this.spec = spec;
        this.prompts = new PromptCache(spec.cacheTokens());
        replaceModels(target.models(), nowMillis);
        inMemory.addAll(target.inMemory());
        onDisk.addAll(target.onDisk());
    }

    /** Takes a check-in of the same incarnation. Once orders are counted, only reports say what it holds. */
    void checkedIn(Target latest, long nowMillis) {
        target = latest;
        if (ordersAccepted.isEmpty()) {
            replaceModels(latest.models(), nowMillis);
        }
        if (nowMillis - lastOrderMillis > CHECK_IN_LAG_MILLIS) {
            copies(latest.inMemory(), latest.onDisk());
        }
    }

    /**
     * Takes a report. What it lists and the orders it counts belong together: an order that is made for this state
     * counts on just that number, so that it has no effect where the report was out of date.
     */
    void reported(EngineReport report, long nowMillis) {
        boolean reborn = report.startedAtMillis() != target.startedAtMillis()
                && report.startedAtMillis() != 0
                && target.startedAtMillis() != 0;
        boolean settled = reportAskedMillis - lastOrderMillis > SETTLED_MILLIS;
        long known = ordersAccepted.orElse(-1);
        if (report.busy()) {
            // What it lists lacks what is being loaded: an order made for it could overfill the target.
            nextOrderMillis = nowMillis + BUSY_MILLIS;
            return;
        }
        if (report.ordersAccepted() > known || reborn || (report.ordersAccepted() < known && settled)) {
            ordersAccepted = OptionalLong.of(report.ordersAccepted());
            conflictsInRow = 0;
            replaceModels(report.models(), nowMillis);
            copies(report.inMemory(), report.onDisk());
            return;
        }
        if (report.ordersAccepted() == known) {
            confirm(report.models(), nowMillis);
        }
    }

    /** Nothing has been ordered since: loads that are listed are done, those that aren't, though due, have failed. */
    private void confirm(List<LoadedModel> held, long nowMillis) {
        Set<String> names = new HashSet<>();
        held.forEach(model -> names.add(model.name()));
        for (Map.Entry<String, Residency> each : models.entrySet()) {
            if (each.getValue().unconfirmed && names.contains(each.getKey())) {
                each.getValue().unconfirmed = false;
                each.getValue().readyAtMillis = nowMillis;
            }
        }
        models.entrySet()
                .removeIf(each -> orderUnderWay.isEmpty()
                        && !names.contains(each.getKey())
                        && reportAskedMillis - each.getValue().readyAtMillis > SETTLED_MILLIS
                        && reportAskedMillis - lastOrderMillis > SETTLED_MILLIS);
    }

    private void copies(Set<String> memory, Set<String> disk) {
        if (memory.isEmpty() && disk.isEmpty()) {
            return;
        }
        inMemory.clear();
        inMemory.addAll(memory);
        onDisk.clear();
        onDisk.addAll(disk);
    }

    private void replaceModels(List<LoadedModel> held, long nowMillis) {
        Set<String> names = new HashSet<>();
        for (LoadedModel model : held) {
            names.add(model.name());
            Residency residency = models.computeIfAbsent(model.name(), name -> new Residency(nowMillis, Set.of()));
            residency.unconfirmed = false;
            residency.readyAtMillis = Math.min(residency.readyAtMillis, nowMillis);
            residency.adapters.keySet().retainAll(model.adapters());
            model.adapters()
                    .forEach(name -> residency.adapters.computeIfAbsent(name, key -> new Residency.AdapterUse()));
        }
        models.keySet().removeIf(name -> {
            boolean gone = !names.contains(name);
            if (gone) {
                prompts.unloaded(name);
            }
            return gone;
        });
    }

    double freeMb() {
        double used = 0;
        for (Map.Entry<String, Residency> held : models.entrySet()) {
            EngineModelSpec model = spec.models().get(held.getKey());
            if (model == null) {
                return 0;
            }
            used += model.sizeMb() + held.getValue().adapters.size() * model.adapterSizeMb();
        }
        return spec.memoryMb() - used;
    }

    int adapterCount() {
        int count = 0;
        for (Residency held : models.values()) {
            count += held.adapters.size();
        }
        return count;
    }

    /** Returns the time that a load of the model would take here, by the nearest copy. */
    long loadMillis(EngineModelSpec model) {
        if (inMemory.contains(model.name())) {
            return model.memoryLoadMillis();
        }
        return onDisk.contains(model.name()) ? model.diskLoadMillis() : model.storeLoadMillis();
    }

    /** Tells whether the nearest copy of the model is in the weight store. */
    boolean loadsFromStore(EngineModelSpec model) {
        return loadMillis(model) >= model.storeLoadMillis();
    }

    /** Tells whether the target holds the model, loads it, or is to load it next. */
    boolean holdsOrWants(String model) {
        return models.containsKey(model) || wants(model);
    }

    /** Tells whether the model is to be loaded next. */
    boolean wants(String model) {
        return wantedModel.isPresent() && wantedModel.get().equals(model);
    }

    /** Tells whether a load from the weight store is under way. */
    boolean loadingFromStore() {
        for (Residency held : models.values()) {
            if (held.unconfirmed) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether the load that is next comes from the weight store. */
    boolean startsFromStore() {
        return wantedModel.map(spec.models()::get).filter(this::loadsFromStore).isPresent();
    }

    boolean hasCopy(String model) {
        return models.containsKey(model) || inMemory.contains(model) || onDisk.contains(model);
    }

    /** Tells whether a load is under way, during which a target takes no other order. */
    boolean loading(long nowMillis) {
        for (Residency held : models.values()) {
            if (!held.ready(nowMillis)) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether a load is done as far as can be told, and must be confirmed by a report. */
    boolean unconfirmed(long nowMillis) {
        for (Residency held : models.values()) {
            if (held.unconfirmed && held.readyAtMillis <= nowMillis) {
                return true;
            }
        }
        return false;
    }

    /** Returns when the loads that are under way, and the one that is next, are done. */
    long freeAtMillis(long nowMillis) {
        long freeMillis = nowMillis;
        boolean drains = false;
        for (Residency held : models.values()) {
            if (held.readyAtMillis < Residency.NOT_YET) {
                freeMillis = Math.max(freeMillis, held.readyAtMillis);
            }
            drains |= held.retiring && held.running > 0;
        }
        if (wantedModel.isEmpty()) {
            return freeMillis;
        }
        EngineModelSpec next = spec.models().get(wantedModel.get());
        return freeMillis + (next == null ? 0 : loadMillis(next)) + (drains ? DRAIN_MILLIS : 0);
    }

    /** Forgets the load that was next, and what was to make way for it. */
    void giveUpLoad() {
        wantedModel = Optional.empty();
        models.values().forEach(held -> held.retiring = false);
    }

    boolean takesWork(long nowMillis) {
        return !target.leaving() && suspicion.leftMillis(nowMillis) == 0;
    }

    /** Takes a run in and counts its tokens. */
    void start(Run run) {
        Run before = running.put(run.wish().key(), run);
        committedTokens += run.tokens() - (before == null ? 0 : before.tokens());
    }

    /** Ends a run. */
    void end(String key) {
        Run run = running.remove(key);
        committedTokens -= run == null ? 0 : run.tokens();
    }

    long committedTokens() {
        return committedTokens;
    }

    /** Counts a prompt that the target reads for this long. */
    void reads(long prefillMillis, long nowMillis) {
        prefillFreeMillis = Math.max(nowMillis, prefillFreeMillis) + prefillMillis;
        readShare = readShare(nowMillis) + prefillMillis / READ_FADE_MILLIS;
        readShareMillis = nowMillis;
    }

    /** Returns the share of its time that the target has lately spent on reading prompts. */
    double readShare(long nowMillis) {
        return readShare * Math.exp(-(nowMillis - readShareMillis) / READ_FADE_MILLIS);
    }

    double slowness(long nowMillis) {
        double fade = Math.exp(-(nowMillis - slownessMillis) / SLOWNESS_FADE_MILLIS);
        return 1 + (slowness - 1) * fade;
    }

    void answered(long estimateMillis, long firstEventMillis, long nowMillis) {
        suspicion.answered();
        double observed =
                Math.clamp(firstEventMillis / (double) Math.max(1, estimateMillis), LEAST_SLOWNESS, MOST_SLOWNESS);
        slowness = slowness(nowMillis) * (1 - SLOWNESS_WEIGHT) + observed * SLOWNESS_WEIGHT;
        slownessMillis = nowMillis;
    }

    void broke(long nowMillis) {
        suspicion.broke(nowMillis);
    }
}
