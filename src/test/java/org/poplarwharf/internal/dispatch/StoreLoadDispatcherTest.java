package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks loads from a weight store that serves few at a time, for many models that callers ask for. */
class StoreLoadDispatcherTest {
    private static final int MISSING_COUNT = 12;
    private static final int TARGET_COUNT = 12;
    private static final long PATIENT_MILLIS = 600_000;

    /** Time for the dispatcher to learn the targets' states and to send the orders of its first passes. */
    private static final long FIRST_ORDERS_MILLIS = 300;

    /** The time until a model goes first, that for which others stay protected, and the loads of those before it. */
    private static final long MAX_LOCAL_WAIT_MILLIS = 10_000 + 6_000 + 5 * (FakeFleet.DISK_LOAD_MILLIS + 200);

    private static List<String> missingModels() {
        return IntStream.range(0, MISSING_COUNT).mapToObj(i -> "missing-" + i).toList();
    }

    private static FakeFleet fleetWithMissingModels() {
        List<String> models = new ArrayList<>(missingModels());
        models.add("held");
        FakeFleet fleet = new FakeFleet(models.toArray(String[]::new));
        for (int i = 0; i < TARGET_COUNT; i++) {
            fleet.addTarget("t" + i, List.of("held"), Set.of("held"));
        }
        fleet.sendAllHeartbeats();
        return fleet;
    }

    /** Guards against as many slow loads as there are targets, which then serve nothing else. */
    @Test
    void models_that_are_missing_at_the_same_time_start_no_more_store_loads_than_the_store_serves() {
        FakeFleet fleet = fleetWithMissingModels();
        missingModels().forEach(model -> fleet.submit(model, PATIENT_MILLIS));
        fleet.executeOrdersFor(FIRST_ORDERS_MILLIS);

        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).hasSize(1);
    }

    /** Guards against orders beyond the store's rate that are sent before the first of them is answered. */
    @Test
    void orders_without_a_result_count_against_the_rate_of_the_store() {
        LoadRateLimiter limiter = new LoadRateLimiter(1, 2_000, 1);
        FakeFleet fleet = fleetWithMissingModels();
        List<EngineOrder> orders = missingModels().stream()
                .map(model ->
                        new EngineOrder(fleet.targets.get("t0"), EngineOrder.Kind.LOAD, model, Optional.empty(), 0))
                .toList();
        limiter.recordOrder(orders.get(0));
        assertThat(limiter.allows(0, 0)).isTrue();
        limiter.recordOrder(orders.get(1));
        assertThat(limiter.allows(0, 0)).isFalse();
        limiter.recordResult(orders.get(0), false, 0);
        assertThat(limiter.allows(0, 0)).isTrue();
        limiter.recordResult(orders.get(1), true, 0);
        limiter.recordOrder(orders.get(2));
        assertThat(limiter.allows(0, 0)).isFalse();
    }

    /** Guards against a rarely requested model that goes behind models with more requests each time. */
    @ParameterizedTest
    @ValueSource(ints = {0, 3, 6})
    void a_model_is_loaded_after_twice_as_many_others_as_were_asked_for_before_it(int earlierCount) {
        List<String> models = new ArrayList<>(List.of("held", "rare"));
        IntStream.range(0, 400).forEach(i -> models.add("popular-" + i));
        FakeFleet fleet = new FakeFleet(models.toArray(String[]::new));
        for (int i = 0; i < TARGET_COUNT; i++) {
            fleet.addTarget("t" + i, List.of("held"), Set.of("held"));
        }
        // Without orders, and so without a prefetch, until some models are asked for.
        fleet.dispatcher.setOrdersAllowed(false);
        fleet.sendAllHeartbeats();
        int popularCount = 0;
        while (popularCount <= earlierCount) {
            submitOften(fleet, "popular-" + popularCount++);
        }
        fleet.dispatcher.setOrdersAllowed(true);
        fleet.executeOrdersFor(FIRST_ORDERS_MILLIS);
        fleet.submit("rare", PATIENT_MILLIS);
        fleet.executeOrdersFor(FIRST_ORDERS_MILLIS);
        for (int i = 0; i < 20; i++) {
            for (int j = 0; j < 10; j++) {
                submitOften(fleet, "popular-" + popularCount++);
            }
            fleet.executeOrdersFor(FakeFleet.STORE_LOAD_MILLIS);
            List.copyOf(fleet.granted.keySet()).forEach(key -> fleet.dispatcher.endRun(key, fleet.nowMillis));
        }

        assertThat(List.copyOf(fleet.orderedModels(EngineOrder.Kind.LOAD)).indexOf("rare"))
                .isBetween(1, 2 * (earlierCount + 1));
    }

    /** Guards against a model that never gets the only target with its copy, as others with copies there rank higher. */
    @Test
    void a_model_with_a_copy_is_loaded_in_time_although_others_are_always_requested_more() {
        List<String> models = new ArrayList<>(List.of("rare"));
        IntStream.range(0, 200).forEach(i -> models.add("popular-" + i));
        FakeFleet fleet = new FakeFleet(models.toArray(String[]::new));
        fleet.addTarget("t1", List.of("popular-0", "popular-1"), Set.copyOf(models));
        fleet.sendAllHeartbeats();
        int popularCount = 2;
        long askedMillis = fleet.nowMillis;
        for (int i = 0; i < 4; i++) {
            submitOften(fleet, "popular-" + popularCount++);
        }
        fleet.submit("rare", PATIENT_MILLIS);
        while (fleet.nowMillis < askedMillis + 2 * MAX_LOCAL_WAIT_MILLIS
                && !fleet.orderedModels(EngineOrder.Kind.LOAD).contains("rare")) {
            submitOften(fleet, "popular-" + popularCount++);
            fleet.executeOrdersFor(FakeFleet.DISK_LOAD_MILLIS);
            List.copyOf(fleet.granted.keySet()).forEach(key -> fleet.dispatcher.endRun(key, fleet.nowMillis));
        }

        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).contains("rare");
        assertThat(fleet.nowMillis - askedMillis).isLessThanOrEqualTo(MAX_LOCAL_WAIT_MILLIS);
    }

    private static void submitOften(FakeFleet fleet, String model) {
        for (int i = 0; i < 5; i++) {
            fleet.submit(model, PATIENT_MILLIS);
        }
    }

    /** Guards against a store that takes no load while the entry of a crashed target is still listed. */
    @Test
    void a_target_that_crashed_during_a_load_does_not_occupy_the_store() {
        FakeFleet fleet = fleetWithMissingModels();
        fleet.submit("missing-0", PATIENT_MILLIS);
        fleet.executeOrdersFor(FIRST_ORDERS_MILLIS);
        String crashed = fleet.lastOrder().target().id();
        fleet.silentTargets.add(crashed);
        fleet.submit("missing-1", PATIENT_MILLIS);
        fleet.executeOrdersFor(FakeFleet.STORE_LOAD_MILLIS + 2_000);

        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).contains("missing-1");
    }

    /** Guards against a plan at a target that carries out an order of an earlier holder, while another target is free. */
    @Test
    void a_model_is_loaded_at_another_target_if_the_first_one_is_busy_with_an_unknown_order() {
        FakeFleet fleet = new FakeFleet("held", "wanted");
        fleet.addTarget("t1", List.of(), Set.of("wanted"));
        fleet.addTarget("t2", List.of("held"), Set.of("wanted", "held"));
        fleet.sendAllHeartbeats();
        fleet.occupyUntilMillis("t1", fleet.nowMillis + 60_000);
        String key = fleet.submit("wanted", 5_000);
        fleet.executeOrdersFor(3_000);

        assertThat(fleet.granted).containsEntry(key, "t2");
    }

    /** Guards against a new holder that adds loads to those its predecessor ordered, which then all take longer. */
    @Test
    @Tag("known-red")
    void a_new_holder_starts_no_store_load_while_a_target_carries_out_an_order_of_its_predecessor() {
        FakeFleet fleet = fleetWithMissingModels();
        fleet.occupyUntilMillis("t5", fleet.nowMillis + FakeFleet.STORE_LOAD_MILLIS);
        fleet.submit("missing-0", PATIENT_MILLIS);
        fleet.executeOrdersFor(FakeFleet.STORE_LOAD_MILLIS - FIRST_ORDERS_MILLIS);
        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).isEmpty();
        fleet.executeOrdersFor(2_000);

        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).contains("missing-0");
    }

    /** Guards against requests that wait until their deadline for an adapter whose target takes no orders. */
    @Test
    void a_request_for_an_adapter_that_cannot_be_loaded_in_time_is_refused_at_once() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        fleet.submit("m2", PATIENT_MILLIS);
        fleet.executeOrdersFor(FIRST_ORDERS_MILLIS);
        String key = fleet.submit("m1", Optional.of("a1"), 2_000);

        assertThat(fleet.refused).containsEntry(key, "adapter-not-loaded-in-time");
    }

    /** Guards against a slow load at the only target that loads adapters of a model in demand, while another is free. */
    @Test
    void a_store_load_goes_to_a_target_whose_models_need_no_adapters() {
        FakeFleet fleet = new FakeFleet("busy", "idle", "missing");
        fleet.addTarget("t1", List.of("busy"), Set.of("busy"));
        fleet.addTarget("t2", List.of("idle"), Set.of("idle"));
        fleet.dispatcher.setOrdersAllowed(false);
        fleet.sendAllHeartbeats();
        fleet.submitUntilBusy("busy", PATIENT_MILLIS);
        fleet.dispatcher.setOrdersAllowed(true);
        fleet.submit("missing", PATIENT_MILLIS);
        fleet.executeOrdersFor(FIRST_ORDERS_MILLIS);

        assertThat(fleet.lastOrder().target().id()).isEqualTo("t2");
    }

    /** Guards against adapters that are never loaded while the only target with their model loads another one. */
    @Test
    void a_model_whose_target_can_load_no_adapter_is_loaded_at_another_target_too() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.addTarget("t2", List.of("m3"), Set.of("m3", "m1"));
        fleet.sendAllHeartbeats();
        fleet.occupyUntilMillis("t1", fleet.nowMillis + 60_000);
        fleet.submit("m1", Optional.of("a1"), 2_000);
        fleet.executeOrdersFor(3_000);
        String key = fleet.submit("m1", Optional.of("a1"), 2_000);
        fleet.executeOrdersFor(2_000);

        assertThat(fleet.granted).containsEntry(key, "t2");
    }
}
