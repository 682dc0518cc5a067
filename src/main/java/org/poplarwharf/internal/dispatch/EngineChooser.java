package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.Optional;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.Target;

/**
 * Chooses the target with the earliest expected first event: prompt parts it need not read, prompts that it must read
 * first, how slow it has been, and the way to it.
 *
 * <p>Stateless; confined to the thread of the states that it reads.
 */
final class EngineChooser {
    /** Prompt tokens that an engine reads in a millisecond; the order of magnitude of today's engines. */
    private static final double TOKENS_PER_MILLI = 38;

    /** From sending to the first event of an empty prompt at an idle engine. */
    private static final double BASE_MILLIS = 50;

    /** What each running request adds to the first event of another. */
    private static final double MILLIS_PER_RUNNING = 1.5;

    /** What it is worth to stay within a zone; bytes between zones are paid for. */
    private static final double OTHER_ZONE_MILLIS = 40;

    /** What a millisecond of reading a prompt costs each stream at the same target. */
    private static final double HARM_PER_RUNNING = 0.3;

    /** What it costs a long answer to run where prompts are read all the time: about the pauses that this makes late. */
    private static final double READING_TARGET_MILLIS = 400;

    private static final double LONG_ANSWER_TOKENS = 200;

    /** A model that makes way gets requests only where no other target can take them. */
    private static final double RETIRING_MILLIS = 5_000;

    /** An adapter that must be loaded first; one more must make way where all places are taken. */
    private static final double ADAPTER_LOAD_MILLIS = 20;

    private static final double ADAPTER_SWAP_MILLIS = 45;

    /** The share of an engine's memory for running requests that is filled before others wait. */
    private static final double FILL = 0.9;

    /** Most answers end long before their limit; one with a high limit is counted with this many tokens. */
    private static final long COUNTED_OUTPUT_TOKENS = 400;

    /** A place for a request. */
    record Choice(
            EngineState engine,
            boolean adapterReady,
            long estimateMillis,
            long prefillMillis,
            long tokens,
            double costMillis) {}

    Optional<Choice> choose(Wish wish, Collection<EngineState> engines, EngineSpec spec, long nowMillis) {
        Choice best = null;
        for (EngineState engine : engines) {
            if (!engine.takesWork(nowMillis) || wish.excluded().contains(engine.target.id())) {
                continue;
            }
            Optional<Choice> choice = look(wish, engine, spec, nowMillis);
            if (choice.isPresent() && (best == null || choice.get().costMillis() < best.costMillis())) {
                best = choice.get();
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns another target that could go on with the run, since it holds the same weights; the least loaded one. */
    Optional<Target> backup(Wish wish, EngineState chosen, Collection<EngineState> engines, long nowMillis) {
        EngineState best = null;
        for (EngineState engine : engines) {
            Residency held = wish.model().map(engine.models::get).orElse(null);
            boolean usable = engine != chosen && engine.takesWork(nowMillis) && held != null && held.ready(nowMillis);
            if (!usable || held.retiring || !holdsAdapter(wish, held, nowMillis)) {
                continue;
            }
            if (best == null || engine.running.size() < best.running.size()) {
                best = engine;
            }
        }
        return Optional.ofNullable(best).map(engine -> engine.target);
    }

    private static boolean holdsAdapter(Wish wish, Residency held, long nowMillis) {
        Optional<String> adapter = wish.traits().adapter();
        if (adapter.isEmpty()) {
            return true;
        }
        Residency.AdapterUse use = held.adapters.get(adapter.get());
        return use != null && use.readyAtMillis <= nowMillis;
    }

    private static Optional<Choice> look(Wish wish, EngineState engine, EngineSpec spec, long nowMillis) {
        Optional<Residency> held = wish.model().map(engine.models::get);
        if (wish.model().isPresent() && (held.isEmpty() || !held.get().ready(nowMillis))) {
            return Optional.empty();
        }
        long toRead = engine.prompts.tokensToRead(
                wish.traits().weightsName(),
                wish.traits().promptParts(),
                wish.traits().promptTokens());
        long tokens = toRead + Math.min(wish.traits().maxOutputTokens(), COUNTED_OUTPUT_TOKENS);
        boolean idle = engine.running.isEmpty();
        boolean room = engine.running.size() < spec.batchSlots()
                && engine.committedTokens() + tokens <= spec.cacheTokens() * FILL;
        if (!idle && !room) {
            return Optional.empty();
        }
        double slowness = engine.slowness(nowMillis);
        double prefillMillis = toRead / TOKENS_PER_MILLI * slowness;
        double estimateMillis = Math.max(0, engine.prefillFreeMillis - nowMillis)
                + prefillMillis
                + (BASE_MILLIS + engine.running.size() * MILLIS_PER_RUNNING) * slowness;
        double costMillis = estimateMillis
                + harm(wish, engine, prefillMillis, nowMillis)
                + (engine.target.zone().equals(wish.zone()) ? 0 : OTHER_ZONE_MILLIS);
        boolean adapterReady = true;
        if (held.isPresent()) {
            Optional<Residency.AdapterUse> use = wish.traits().adapter().map(held.get().adapters::get);
            boolean wantsAdapter = wish.traits().adapter().isPresent();
            adapterReady = !wantsAdapter
                    || use.filter(known -> known.readyAtMillis <= nowMillis).isPresent();
            costMillis += held.get().retiring ? RETIRING_MILLIS : 0;
            costMillis += wantsAdapter && use.isEmpty() ? adapterMillis(engine, spec, nowMillis) : 0;
        }
        return Optional.of(new Choice(
                engine,
                adapterReady,
                Math.round(estimateMillis / slowness),
                Math.round(prefillMillis),
                tokens,
                costMillis));
    }

    /**
     * Returns what a placement costs besides its own first event. While a target reads a prompt, the pauses between the
     * events of its streams grow; so long prompts gather at some targets, and long answers at the others.
     */
    private static double harm(Wish wish, EngineState engine, double prefillMillis, long nowMillis) {
        double harmToOthers = prefillMillis * HARM_PER_RUNNING * engine.running.size();
        double answerShare = Math.min(1, wish.traits().maxOutputTokens() / LONG_ANSWER_TOKENS);
        return harmToOthers + answerShare * engine.readShare(nowMillis) * READING_TARGET_MILLIS;
    }

    /** Returns the time until an adapter that is not there yet is loaded; a target that loads a model takes no order. */
    private static double adapterMillis(EngineState engine, EngineSpec spec, long nowMillis) {
        boolean free = engine.adapterCount() < spec.adapterSlots();
        long busyMillis = engine.models.values().stream()
                .mapToLong(model -> Math.max(0, model.readyAtMillis - nowMillis))
                .max()
                .orElse(0);
        return busyMillis + (free ? ADAPTER_LOAD_MILLIS : ADAPTER_SWAP_MILLIS);
    }
}
