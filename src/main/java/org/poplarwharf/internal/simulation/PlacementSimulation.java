package org.poplarwharf.internal.simulation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.poplarwharf.internal.dispatch.DispatchActions;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.Dispatcher;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.dispatch.RequestNodes;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.dispatch.TargetSpeeds;
import org.poplarwharf.internal.fleet.EngineModelSpec;
import org.poplarwharf.internal.fleet.EngineSpec;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.limit.TargetLimits;
import org.poplarwharf.internal.simulation.PlacementResult.LoadSource;
import org.poplarwharf.internal.simulation.PlacementResult.LoadStart;
import org.poplarwharf.internal.simulation.PlacementScenario.Caller;

/**
 * Runs a dispatcher against simulated targets and callers, in virtual time.
 *
 * <p>Callers come back once after a refusal, when the refusal tells them to. A crashed target stays listed until its
 * entry lapses; another one, without any copies, starts in its place. Confined to one thread.
 */
public final class PlacementSimulation {
    private static final long TICK_MILLIS = 20;
    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final long NETWORK_MILLIS = 2;
    private static final long REPORT_LAG_MILLIS = 100;
    private static final long FIRST_EVENT_MILLIS = 70;

    /** The time from a crash until the crashed target's entry lapses. */
    private static final long ENTRY_LAPSE_MILLIS = 6_000;

    /** The time from a crash until another target is listed in its place. */
    private static final long RESTART_MILLIS = 2_500;

    private static final int BATCH_SLOTS = 64;
    private static final long CACHE_TOKENS = 134_770;
    private static final double MODEL_MB = 72_000;
    private static final double TARGET_MB_PER_MODEL = 73_300;
    private static final int ADAPTER_SLOTS = 8;
    private static final long DISK_LOAD_MILLIS = 1_150;
    private static final long MEMORY_LOAD_MILLIS = 390;
    private static final long PROMPT_TOKENS = 300;
    private static final long OUTPUT_TOKENS = 280;
    private static final long STORE_WINDOW_MILLIS = 5_000;
    private static final double STORE_RATE_FACTOR = 1.1;

    private final PlacementScenario scenario;
    private final Map<String, SimulatedTarget> targets = new LinkedHashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::ordinal));
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<Integer, Long> firstEvents = new HashMap<>();
    private final List<LoadStart> loadStarts = new ArrayList<>();
    private final Dispatcher dispatcher;
    private long maxConcurrentStoreLoads;
    private long eventCount;
    private long nowMillis;

    private record Event(long atMillis, long ordinal, Runnable action) {}

    /** A caller's attempt; a caller that was refused makes a second one. */
    private record Attempt(Caller caller, int number, long deadlineMillis) {}

    private PlacementSimulation(PlacementScenario scenario) {
        this.scenario = scenario;
        Map<String, EngineModelSpec> models = new LinkedHashMap<>();
        for (String name : scenario.models()) {
            models.put(
                    name,
                    new EngineModelSpec(
                            name, MODEL_MB, scenario.storeLoadMillis(), DISK_LOAD_MILLIS, MEMORY_LOAD_MILLIS, 0, 1));
        }
        EngineSpec spec = new EngineSpec(
                BATCH_SLOTS,
                CACHE_TOKENS,
                TARGET_MB_PER_MODEL * scenario.modelsPerTarget(),
                ADAPTER_SLOTS,
                scenario.storeLoadsPerSecond(),
                true,
                models);
        TargetLimits limits = new TargetLimits(() -> true, (target, requestsPerSecond) -> {});
        dispatcher = new Dispatcher(
                spec,
                new Dispatcher.LoadLimits(STORE_WINDOW_MILLIS, STORE_RATE_FACTOR),
                limits,
                new TargetSpeeds((targetId, slow, estimate) -> {}),
                new RequestNodes(),
                new Actions(),
                false);
        dispatcher.setOrdersAllowed(true);
    }

    /** Simulates the scenario. The same scenario always gives the same result. */
    public static PlacementResult run(PlacementScenario scenario) {
        PlacementSimulation simulation = new PlacementSimulation(scenario);
        simulation.startTargets();
        List<Caller> callers = scenario.callers();
        callers.forEach(caller -> simulation.at(
                caller.arrivalMillis(), () -> simulation.submit(new Attempt(caller, 1, simulation.deadline(caller)))));
        scenario.crashesMillis().forEach(atMillis -> simulation.at(atMillis, simulation::crashBusiestTarget));
        simulation.every(TICK_MILLIS, () -> simulation.dispatcher.tick(simulation.nowMillis));
        simulation.every(HEARTBEAT_MILLIS, simulation::sendHeartbeats);
        simulation.runEvents();
        return PlacementResult.of(
                callers, simulation.firstEvents, simulation.loadStarts, simulation.maxConcurrentStoreLoads);
    }

    /** Spreads the models over the targets: the requested busy ones on two, the others on one as far as there is room. */
    private void startTargets() {
        for (int i = 0; i < scenario.targetCount(); i++) {
            addTarget("t" + i);
        }
        List<SimulatedTarget> all = List.copyOf(targets.values());
        List<String> placed = new ArrayList<>(scenario.requestedBusyModels(0));
        placed.addAll(scenario.requestedBusyModels(0));
        scenario.models().stream().filter(model -> !placed.contains(model)).forEach(placed::add);
        int placeCount = all.size() * scenario.modelsPerTarget();
        for (int i = 0; i < Math.min(placeCount, placed.size()); i++) {
            all.get(i % all.size()).hold(placed.get(i));
        }
        Random random = new Random(scenario.seed());
        for (SimulatedTarget target : all) {
            for (int i = 0; i < scenario.diskCopies() / 2; i++) {
                target.addDiskCopy(
                        scenario.models().get(random.nextInt(scenario.models().size())));
            }
        }
        sendHeartbeats();
    }

    private SimulatedTarget addTarget(String id) {
        SimulatedTarget target = new SimulatedTarget(id, scenario.memoryCopies(), scenario.diskCopies(), nowMillis);
        targets.put(id, target);
        return target;
    }

    private long deadline(Caller caller) {
        return caller.arrivalMillis() + caller.callerClass().deadlineMillis();
    }

    private void at(long atMillis, Runnable action) {
        events.add(new Event(atMillis, eventCount++, action));
    }

    private void after(long millis, Runnable action) {
        at(nowMillis + millis, action);
    }

    private void every(long intervalMillis, Runnable action) {
        at(nowMillis + intervalMillis, () -> {
            action.run();
            every(intervalMillis, action);
        });
    }

    private void runEvents() {
        while (!events.isEmpty() && nowMillis < scenario.durationMillis()) {
            Event event = events.remove();
            nowMillis = event.atMillis();
            targets.values().forEach(target -> target.advanceTo(nowMillis));
            event.action().run();
        }
    }

    private void sendHeartbeats() {
        targets.values()
                .removeIf(target -> !target.isAlive() && nowMillis - target.aliveChangedMillis() > ENTRY_LAPSE_MILLIS);
        dispatcher.updateTargets(
                targets.values().stream().map(SimulatedTarget::nextHeartbeat).toList(), nowMillis);
    }

    private void crashBusiestTarget() {
        List<String> busy = scenario.requestedBusyModels(nowMillis);
        targets.values().stream()
                .filter(SimulatedTarget::isAlive)
                .max(Comparator.comparingLong(target ->
                        target.models().stream().filter(busy::contains).count()))
                .ifPresent(target -> {
                    target.crash(nowMillis);
                    after(RESTART_MILLIS, () -> addTarget(target.id + "'"));
                });
    }

    private void submit(Attempt attempt) {
        submit(attempt, Set.of());
    }

    private void submit(Attempt attempt, Set<String> excluded) {
        Caller caller = attempt.caller();
        String key = "c" + caller.id() + "-" + attempt.number() + "-" + excluded.size();
        long deadlineMillis = Math.min(
                attempt.deadlineMillis(), nowMillis + caller.callerClass().firstEventLimitMillis());
        attempts.put(key, attempt);
        RequestTraits traits = new RequestTraits(
                key,
                OptionalLong.empty(),
                Optional.of(caller.model()),
                Optional.empty(),
                PROMPT_TOKENS,
                OUTPUT_TOKENS,
                List.of(),
                OptionalLong.empty(),
                Optional.empty());
        at(deadlineMillis, () -> expire(key));
        dispatcher.submit(
                new DispatchRequest(
                        key,
                        "zone",
                        SimulatedTarget.SERVICE,
                        traits,
                        caller.callerClass().priority(),
                        deadlineMillis,
                        nowMillis + caller.callerClass().objectiveMillis(),
                        false,
                        excluded,
                        Optional.empty(),
                        Optional.empty(),
                        0),
                nowMillis);
    }

    private void expire(String key) {
        if (attempts.remove(key) != null) {
            dispatcher.withdraw(key, nowMillis);
        }
    }

    /** Runs a granted request at its target, or submits it again if the target does not serve its model. */
    private void run(DispatchRequest request, String targetId) {
        Attempt attempt = attempts.remove(request.key());
        if (attempt == null) {
            dispatcher.withdraw(request.key(), nowMillis);
            return;
        }
        SimulatedTarget target = targets.get(targetId);
        String model = attempt.caller().model();
        if (target == null || !target.serves(model)) {
            boolean isDead = target == null || !target.isAlive();
            dispatcher.recordOutcome(
                    request.key(), isDead ? new RunOutcome.ConnectionFailed() : new RunOutcome.Declined(), nowMillis);
            submit(attempt, Set.of(targetId));
            return;
        }
        target.startRun(model);
        after(FIRST_EVENT_MILLIS, () -> {
            if (target.isAlive()) {
                firstEvents.putIfAbsent(attempt.caller().id(), nowMillis);
                dispatcher.recordOutcome(
                        request.key(),
                        new RunOutcome.FirstEventReceived(FIRST_EVENT_MILLIS, Optional.empty()),
                        nowMillis);
            }
        });
        after(attempt.caller().callerClass().runMillis(), () -> {
            target.endRun(model);
            if (target.isAlive()) {
                dispatcher.endRun(request.key(), nowMillis);
            } else {
                firstEvents.remove(attempt.caller().id());
                dispatcher.recordOutcome(request.key(), new RunOutcome.ConnectionFailed(), nowMillis);
            }
        });
    }

    private LoadSource source(SimulatedTarget target, String model) {
        if (target.hasMemoryCopy(model)) {
            return LoadSource.MEMORY;
        }
        return target.hasCopy(model) ? LoadSource.DISK : LoadSource.STORE;
    }

    private long loadMillis(LoadSource source) {
        return switch (source) {
            case MEMORY -> MEMORY_LOAD_MILLIS;
            case DISK -> DISK_LOAD_MILLIS;
            case STORE -> {
                long concurrent = 1
                        + targets.values().stream()
                                .filter(SimulatedTarget::isLoadingFromStore)
                                .count();
                maxConcurrentStoreLoads = Math.max(maxConcurrentStoreLoads, concurrent);
                yield scenario.storeLoadMillis()
                        * Math.max(concurrent, scenario.storeFullSpeedLoads())
                        / scenario.storeFullSpeedLoads();
            }
        };
    }

    private void execute(EngineOrder order) {
        SimulatedTarget target = targets.get(order.target().id());
        if (target == null || !target.isAlive()) {
            dispatcher.handleOrderResult(order, OrderResult.REFUSED, nowMillis);
            return;
        }
        LoadSource source = source(target, order.model());
        OrderResult result = target.accept(order, loadMillis(source), nowMillis);
        if (result == OrderResult.ACCEPTED && order.kind() == EngineOrder.Kind.LOAD) {
            loadStarts.add(new LoadStart(nowMillis, order.model(), target.id, source));
        }
        after(NETWORK_MILLIS, () -> dispatcher.handleOrderResult(order, result, nowMillis));
    }

    /** Carries out the dispatcher's decisions after the delay of the network. */
    private final class Actions implements DispatchActions {
        @Override
        public void grant(DispatchRequest request, Target target, Optional<Target> backup) {
            after(NETWORK_MILLIS, () -> run(request, target.id()));
        }

        @Override
        public void refuse(DispatchRequest request, String reason, long retryAfterMillis) {
            Attempt refused = attempts.remove(request.key());
            if (refused == null || refused.number() > 1 || nowMillis + retryAfterMillis >= refused.deadlineMillis()) {
                return;
            }
            after(retryAfterMillis, () -> submit(new Attempt(refused.caller(), 2, refused.deadlineMillis())));
        }

        @Override
        public void sendOrder(EngineOrder order) {
            after(NETWORK_MILLIS, () -> execute(order));
        }

        @Override
        public void logDecision(String event, Object... fields) {
            // The result counts what callers and targets observe.
        }

        @Override
        public void requestReport(Target target) {
            SimulatedTarget simulated = targets.get(target.id());
            Optional<EngineReport> report = Optional.ofNullable(simulated)
                    .filter(SimulatedTarget::isAlive)
                    .map(SimulatedTarget::report);
            after(REPORT_LAG_MILLIS, () -> dispatcher.handleReport(target, report, nowMillis));
        }
    }
}
