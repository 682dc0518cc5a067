package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.fleet.LoadedModel;
import org.poplarwharf.internal.fleet.Target;

class DispatcherTest {
    private static final long LONG_DEADLINE_MILLIS = 13_000;

    @Test
    void grants_a_request_immediately_at_the_target_that_holds_its_model() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1", "m2"));
        fleet.addTarget("t2", List.of("m2"), Set.of("m1", "m2"));
        fleet.sendAllHeartbeats();

        String key = fleet.submit("m2", LONG_DEADLINE_MILLIS);

        assertThat(fleet.granted).containsEntry(key, "t2");
        assertThat(fleet.orders).isEmpty();
    }

    @Test
    void refuses_immediately_with_a_retry_delay_if_the_model_cannot_be_loaded_before_the_deadline() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();

        String key = fleet.submit("m2", 3_000);

        assertThat(fleet.refused).containsEntry(key, "not-loaded-in-time");
        assertThat(fleet.retryAfterMillis.get(key)).isEqualTo(FakeFleet.STORE_LOAD_MILLIS);
    }

    @Test
    void refuses_a_model_that_the_service_does_not_have() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();

        String key = fleet.submit("other", LONG_DEADLINE_MILLIS);

        assertThat(fleet.refused).containsEntry(key, "no-such-model");
    }

    @Test
    void evicts_a_model_loads_another_from_disk_and_grants_once_it_is_loaded() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.addTarget("t1", List.of("m1", "m2"), Set.of("m1", "m2", "m3"));
        fleet.sendAllHeartbeats();
        String key = fleet.submit("m3", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 4, "m1", "m2");

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
        assertThat(fleet.lastOrder().expectedOrdersAccepted()).isEqualTo(4);
        fleet.completeLastOrder(OrderResult.ACCEPTED);
        fleet.advanceMillis(60);
        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.LOAD);
        assertThat(fleet.lastOrder().model()).isEqualTo("m3");
        assertThat(fleet.lastOrder().expectedOrdersAccepted()).isEqualTo(5);
        fleet.completeLastOrder(OrderResult.ACCEPTED);
        assertThat(fleet.granted).isEmpty();
        fleet.advanceMillis(FakeFleet.DISK_LOAD_MILLIS + 1);

        assertThat(fleet.granted).containsEntry(key, "t1");
    }

    @Test
    void a_conflict_leaves_the_engine_state_unchanged() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.addTarget("t1", List.of("m1", "m2"), Set.of("m1", "m2", "m3"));
        fleet.sendAllHeartbeats();
        fleet.submit("m3", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 4, "m1", "m2");
        fleet.completeLastOrder(OrderResult.CONFLICT);
        fleet.advanceMillis(60);

        // Both models still count as held, so the unload is ordered again before any load.
        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).isEmpty();
        assertThat(fleet.orderedModels(EngineOrder.Kind.UNLOAD)).hasSize(2);
        assertThat(fleet.lastOrder().expectedOrdersAccepted()).isEqualTo(4);
    }

    @Test
    void an_order_result_that_arrives_after_a_newer_report_reverts_nothing() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        String first = fleet.submit("m1", Optional.of("a1"), LONG_DEADLINE_MILLIS);
        fleet.report("t1", 4, "m1");
        // The first order gets no response but is carried out, so the second one conflicts.
        fleet.completeLastOrder(OrderResult.UNKNOWN);
        fleet.advanceMillis(60);
        assertThat(fleet.orders).hasSize(2);
        fleet.report("t1", 5, false, List.of(new LoadedModel("m1", Set.of("a1"))));
        fleet.completeLastOrder(OrderResult.CONFLICT);
        fleet.advanceMillis(60);

        String second = fleet.submit("m1", Optional.of("a2"), LONG_DEADLINE_MILLIS);
        fleet.advanceMillis(60);
        fleet.completeLastOrder(OrderResult.ACCEPTED);
        fleet.advanceMillis(60);
        fleet.dispatcher.endRun(first, fleet.nowMillis);
        fleet.dispatcher.endRun(second, fleet.nowMillis);
        fleet.advanceMillis(2_000);
        fleet.submit("m1", Optional.of("a3"), LONG_DEADLINE_MILLIS);
        fleet.advanceMillis(60);

        // Both adapter slots are taken: an adapter must be unloaded before a third one is loaded.
        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
    }

    @Test
    void a_report_from_before_the_last_order_is_ignored() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.addTarget("t1", List.of("m1", "m2"), Set.of("m1", "m2", "m3"));
        fleet.sendAllHeartbeats();
        fleet.submit("m3", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 4, "m1", "m2");
        fleet.completeLastOrder(OrderResult.ACCEPTED);
        fleet.report("t1", 4, "m1", "m2");
        fleet.advanceMillis(60);

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.LOAD);
        assertThat(fleet.lastOrder().expectedOrdersAccepted()).isEqualTo(5);
    }

    @Test
    void a_target_that_reports_an_order_in_progress_gets_no_order() {
        // A new lease holder doesn't know which model its predecessor's order is still loading.
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1", "m2", "m3"));
        fleet.sendAllHeartbeats();
        fleet.submit("m3", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 6, true, "m1");
        fleet.advanceMillis(50);
        assertThat(fleet.orders).isEmpty();

        fleet.advanceMillis(300);
        fleet.report("t1", 6, "m1", "m2");

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
        assertThat(fleet.lastOrder().expectedOrdersAccepted()).isEqualTo(6);
    }

    @Test
    void waits_for_a_target_with_a_copy_on_disk_instead_of_loading_from_the_store_at_another() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3", "m4");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1", "m2", "m3", "m4"));
        fleet.addTarget("t2", List.of("m4"), Set.of("m4"));
        fleet.sendAllHeartbeats();
        fleet.submit("m2", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 0, "m1");
        fleet.report("t2", 0, "m4");
        fleet.completeLastOrder(OrderResult.ACCEPTED);
        assertThat(fleet.lastOrder().model()).isEqualTo("m2");

        fleet.submit("m3", LONG_DEADLINE_MILLIS);
        fleet.advanceMillis(60);

        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).containsExactly("m2");
    }

    @Test
    void models_that_several_targets_hold_at_the_start_are_evicted_last() {
        FakeFleet fleet = new FakeFleet("busy", "rare", "wanted");
        fleet.addTarget("t1", List.of("busy", "rare"), Set.of("busy", "rare", "wanted"));
        fleet.addTarget("t2", List.of("busy"), Set.of("busy"));
        fleet.sendAllHeartbeats();
        fleet.submit("wanted", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 0, "busy", "rare");

        assertThat(fleet.orderedModels(EngineOrder.Kind.UNLOAD)).containsExactly("rare");
    }

    @Test
    void a_withdrawal_after_the_grant_frees_the_slot() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        for (int i = 0; i < 20; i++) {
            String key = fleet.submit("m1", LONG_DEADLINE_MILLIS);
            assertThat(fleet.granted).containsKey(key);
            fleet.dispatcher.withdraw(key, fleet.nowMillis);
        }
    }

    @Test
    void results_and_reports_that_arrive_after_a_new_check_in_are_applied() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.addTarget("t1", List.of("m1", "m2"), Set.of("m1", "m2", "m3"));
        fleet.sendAllHeartbeats();
        fleet.submit("m3", LONG_DEADLINE_MILLIS);
        Target checkedIn = fleet.targets.get("t1");
        fleet.sendNextHeartbeat("t1");
        fleet.dispatcher.handleReport(
                checkedIn,
                Optional.of(new EngineReport(0, 4, false, fleet.heldModels("m1", "m2"), Set.of(), Set.of())),
                fleet.nowMillis);
        fleet.sendNextHeartbeat("t1");
        fleet.completeLastOrder(OrderResult.ACCEPTED);
        fleet.advanceMillis(60);

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.LOAD);
    }

    @Test
    void selects_another_target_that_holds_the_model_as_backup() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.addTarget("t2", List.of("m1"), Set.of("m1"));
        fleet.addTarget("t3", List.of("m2"), Set.of("m2"));
        fleet.sendAllHeartbeats();

        String withBackup = fleet.submit("m1", LONG_DEADLINE_MILLIS);
        String withoutBackup = fleet.submit("m2", LONG_DEADLINE_MILLIS);

        assertThat(fleet.backups.get(withBackup)).isIn("t1", "t2").isNotEqualTo(fleet.granted.get(withBackup));
        assertThat(fleet.backups).doesNotContainKey(withoutBackup);
    }

    @Test
    void after_a_target_refuses_an_order_another_target_gets_it() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1", "m3"));
        fleet.addTarget("t2", List.of("m2"), Set.of("m2", "m3"));
        fleet.sendAllHeartbeats();
        fleet.submit("m3", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 0, "m1");
        fleet.report("t2", 0, "m2");
        String first = fleet.lastOrder().target().id();
        fleet.completeLastOrder(OrderResult.REFUSED);
        fleet.advanceMillis(60);
        fleet.report("t1", 0, "m1");
        fleet.report("t2", 0, "m2");
        fleet.advanceMillis(60);

        assertThat(fleet.lastOrder().target().id()).isNotEqualTo(first);
    }

    @Test
    void an_overdue_load_from_the_store_delays_other_loads_from_it() {
        FakeFleet fleet = new FakeFleet("a", "b", "c", "d", "e", "f", "g", "h");
        for (String model : List.of("a", "b", "c", "d", "e", "f", "h")) {
            fleet.addTarget("t-" + model, List.of(model), Set.of(model));
        }
        fleet.sendAllHeartbeats();
        fleet.submit("g", 60_000);
        fleet.targets
                .keySet()
                .forEach(id -> fleet.report(
                        id, 0, fleet.targets.get(id).models().get(0).name()));
        fleet.completeLastOrder(OrderResult.ACCEPTED);
        fleet.advanceMillis(FakeFleet.STORE_LOAD_MILLIS * 2);
        fleet.targets.remove("t-h");
        fleet.sendAllHeartbeats();
        fleet.submit("h", 60_000);
        fleet.advanceMillis(60);

        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).containsExactly("g");
    }

    @Test
    void sends_no_order_without_the_lease() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1", "m2"));
        fleet.sendAllHeartbeats();
        fleet.dispatcher.setOrdersAllowed(false);
        fleet.submit("m2", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 0, "m1");
        fleet.advanceMillis(100);

        assertThat(fleet.orders).isEmpty();
    }

    @Test
    void an_order_without_a_response_is_sent_again_with_the_same_expected_order_count() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1", "m2"));
        fleet.sendAllHeartbeats();
        fleet.submit("m2", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 7, "m1");
        fleet.completeLastOrder(OrderResult.UNKNOWN);
        fleet.advanceMillis(100);

        assertThat(fleet.orders).hasSize(2);
        assertThat(fleet.orders.get(1).expectedOrdersAccepted())
                .isEqualTo(fleet.orders.get(0).expectedOrdersAccepted());
    }

    @Test
    void a_replica_with_running_requests_is_drained_and_evicted_if_another_target_serves_its_model() {
        FakeFleet fleet = new FakeFleet("busy", "a", "b", "wanted");
        fleet.addTarget("t1", List.of("busy", "a"), Set.of("busy", "a", "wanted"));
        fleet.addTarget("t2", List.of("busy", "b"), Set.of("busy", "b", "wanted"));
        fleet.sendAllHeartbeats();
        fleet.submitUntilBusy("a", LONG_DEADLINE_MILLIS);
        fleet.submitUntilBusy("b", LONG_DEADLINE_MILLIS);
        String first = fleet.submit("busy", LONG_DEADLINE_MILLIS);
        String second = fleet.submit("busy", LONG_DEADLINE_MILLIS);
        assertThat(fleet.granted.get(second)).isNotEqualTo(fleet.granted.get(first));

        String wanted = fleet.submit("wanted", LONG_DEADLINE_MILLIS);
        fleet.report("t1", 0, "busy", "a");
        fleet.report("t2", 0, "busy", "b");
        assertThat(fleet.orders).isEmpty();
        String third = fleet.submit("busy", LONG_DEADLINE_MILLIS);
        String kept = fleet.granted.get(third);
        String ending = kept.equals(fleet.granted.get(first)) ? second : first;
        fleet.dispatcher.endRun(ending, fleet.nowMillis);
        fleet.advanceMillis(20);

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
        assertThat(fleet.lastOrder().model()).isEqualTo("busy");
        assertThat(fleet.lastOrder().target().id()).isNotEqualTo(kept);
        assertThat(fleet.refused).doesNotContainKey(wanted);
    }

    @Test
    void a_busy_model_is_relocated_if_it_blocks_the_load_of_another_from_its_only_copy() {
        FakeFleet fleet = new FakeFleet("busy", "lively", "idle", "rare", "wanted");
        fleet.addTarget("t1", List.of("busy", "lively"), Set.of("busy", "lively", "wanted"));
        fleet.addTarget("t2", List.of("idle", "rare"), Set.of("idle", "rare", "busy", "lively"));
        fleet.sendAllHeartbeats();
        fleet.submitUntilBusy("busy", LONG_DEADLINE_MILLIS);
        fleet.submitUntilBusy("lively", LONG_DEADLINE_MILLIS);
        String wanted = fleet.submit("wanted", LONG_DEADLINE_MILLIS);
        fleet.executeOrdersFor(3_000);

        assertThat(fleet.granted).containsEntry(wanted, "t1");
        assertThat(fleet.modelsAt("t2")).containsAnyOf("busy", "lively");
    }

    @Test
    void a_model_whose_targets_are_full_gets_another_replica() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.addTarget("t2", List.of("m1"), Set.of("m1"));
        fleet.addTarget("t3", List.of("m2"), Set.of("m1", "m2"));
        fleet.sendAllHeartbeats();
        for (int i = 0; i < 3 * FakeFleet.SLOT_COUNT; i++) {
            fleet.submit("m1", LONG_DEADLINE_MILLIS);
        }
        fleet.executeOrdersFor(2_000);

        assertThat(fleet.granted).hasSize(3 * FakeFleet.SLOT_COUNT).containsValue("t3");
    }

    @Test
    void an_expensive_load_from_disk_is_started_while_the_weight_store_is_busy() {
        FakeFleet fleet = new FakeFleet("held", "second", "fetched", "wanted", "rest");
        fleet.addTarget("t1", List.of("held", "second"), Set.of("wanted"));
        fleet.addTarget("t2", List.of("rest"), Set.of("rest"));
        fleet.sendAllHeartbeats();
        for (int i = 0; i < 5; i++) {
            fleet.dispatcher.endRun(fleet.submit("held", LONG_DEADLINE_MILLIS), fleet.nowMillis);
            fleet.dispatcher.endRun(fleet.submit("second", LONG_DEADLINE_MILLIS), fleet.nowMillis);
        }
        fleet.submit("fetched", LONG_DEADLINE_MILLIS);
        fleet.executeOrdersFor(200);
        String wanted = fleet.submit("wanted", LONG_DEADLINE_MILLIS);
        fleet.executeOrdersFor(3_000);

        assertThat(fleet.granted).containsEntry(wanted, "t1");
    }

    @Test
    void models_without_a_copy_are_prefetched_in_order_of_demand() {
        FakeFleet fleet = new FakeFleet("held", "a", "b", "c");
        fleet.addTarget("t1", List.of("held"), Set.of("held"));
        fleet.dispatcher.setOrdersAllowed(false);
        fleet.sendAllHeartbeats();
        fleet.submit("c", 1_000);
        fleet.submit("c", 1_000);
        fleet.submit("b", 1_000);
        fleet.dispatcher.setOrdersAllowed(true);
        fleet.advanceMillis(300);
        fleet.report("t1", 0, "held");

        assertThat(fleet.orderedModels(EngineOrder.Kind.LOAD)).containsExactly("c");
    }
}
