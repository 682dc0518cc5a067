package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.fleet.LoadedModel;
import org.poplarwharf.internal.fleet.Target;

class DispatcherTest {
    private static final long LONG_MILLIS = 13_000;

    @Test
    void grants_a_request_at_once_where_its_model_is_held() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.target("t1", List.of("m1"), Set.of("m1", "m2"));
        fleet.target("t2", List.of("m2"), Set.of("m1", "m2"));
        fleet.checkIn();

        String key = fleet.ask("m2", LONG_MILLIS);

        assertThat(fleet.granted).containsEntry(key, "t2");
        assertThat(fleet.orders).isEmpty();
    }

    @Test
    void refuses_at_once_what_cannot_be_loaded_in_time_and_says_when_to_come_back() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.target("t1", List.of("m1"), Set.of("m1"));
        fleet.checkIn();

        String key = fleet.ask("m2", 3_000);

        assertThat(fleet.refused).containsEntry(key, "not-loaded-in-time");
        assertThat(fleet.retryAfterMillis.get(key)).isEqualTo(FakeFleet.STORE_MILLIS);
    }

    @Test
    void refuses_a_model_that_the_service_does_not_have() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.target("t1", List.of("m1"), Set.of("m1"));
        fleet.checkIn();

        String key = fleet.ask("other", LONG_MILLIS);

        assertThat(fleet.refused).containsEntry(key, "no-such-model");
    }

    @Test
    void swaps_a_model_in_from_disk_and_grants_when_it_is_loaded() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.target("t1", List.of("m1", "m2"), Set.of("m1", "m2", "m3"));
        fleet.checkIn();
        String key = fleet.ask("m3", LONG_MILLIS);
        fleet.report("t1", 4, "m1", "m2");

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
        assertThat(fleet.lastOrder().ordersAccepted()).isEqualTo(4);
        fleet.answer(OrderAnswer.ACCEPTED);
        fleet.pass(60);
        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.LOAD);
        assertThat(fleet.lastOrder().model()).isEqualTo("m3");
        assertThat(fleet.lastOrder().ordersAccepted()).isEqualTo(5);
        fleet.answer(OrderAnswer.ACCEPTED);
        assertThat(fleet.granted).isEmpty();
        fleet.pass(FakeFleet.DISK_MILLIS + 1);

        assertThat(fleet.granted).containsEntry(key, "t1");
    }

    @Test
    void a_conflict_leaves_what_is_believed_as_it_was() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.target("t1", List.of("m1", "m2"), Set.of("m1", "m2", "m3"));
        fleet.checkIn();
        fleet.ask("m3", LONG_MILLIS);
        fleet.report("t1", 4, "m1", "m2");
        fleet.answer(OrderAnswer.CONFLICT);
        fleet.pass(60);

        // Both models still count as held: room must be made again before anything is loaded.
        assertThat(fleet.ordered(EngineOrder.Kind.LOAD)).isEmpty();
        assertThat(fleet.ordered(EngineOrder.Kind.UNLOAD)).hasSize(2);
        assertThat(fleet.lastOrder().ordersAccepted()).isEqualTo(4);
    }

    @Test
    void an_answer_that_a_report_has_overtaken_takes_nothing_back() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.target("t1", List.of("m1"), Set.of("m1"));
        fleet.checkIn();
        String first = fleet.ask("m1", Optional.of("a1"), LONG_MILLIS);
        fleet.report("t1", 4, "m1");
        // The first order has no answer and is carried out; the second one comes too late for it.
        fleet.answer(OrderAnswer.UNKNOWN);
        fleet.pass(60);
        assertThat(fleet.orders).hasSize(2);
        fleet.report("t1", 5, false, List.of(new LoadedModel("m1", Set.of("a1"))));
        fleet.answer(OrderAnswer.CONFLICT);
        fleet.pass(60);

        String second = fleet.ask("m1", Optional.of("a2"), LONG_MILLIS);
        fleet.pass(60);
        fleet.answer(OrderAnswer.ACCEPTED);
        fleet.pass(60);
        fleet.dispatcher.ended(first, fleet.nowMillis);
        fleet.dispatcher.ended(second, fleet.nowMillis);
        fleet.pass(2_000);
        fleet.ask("m1", Optional.of("a3"), LONG_MILLIS);
        fleet.pass(60);

        // Two places are taken: one must be given up before a third adapter comes.
        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
    }

    @Test
    void a_report_from_before_the_last_order_changes_nothing() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.target("t1", List.of("m1", "m2"), Set.of("m1", "m2", "m3"));
        fleet.checkIn();
        fleet.ask("m3", LONG_MILLIS);
        fleet.report("t1", 4, "m1", "m2");
        fleet.answer(OrderAnswer.ACCEPTED);
        fleet.report("t1", 4, "m1", "m2");
        fleet.pass(60);

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.LOAD);
        assertThat(fleet.lastOrder().ordersAccepted()).isEqualTo(5);
    }

    @Test
    void a_busy_target_gets_no_order_for_what_it_lists_meanwhile() {
        // A new holder doesn't know what its predecessor's order is still loading.
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.target("t1", List.of("m1"), Set.of("m1", "m2", "m3"));
        fleet.checkIn();
        fleet.ask("m3", LONG_MILLIS);
        fleet.report("t1", 6, true, "m1");
        fleet.pass(50);
        assertThat(fleet.orders).isEmpty();

        fleet.pass(300);
        fleet.report("t1", 6, "m1", "m2");

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
        assertThat(fleet.lastOrder().ordersAccepted()).isEqualTo(6);
    }

    @Test
    void waits_for_a_target_with_a_copy_on_disk_rather_than_load_from_the_store_elsewhere() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3", "m4");
        fleet.target("t1", List.of("m1"), Set.of("m1", "m2", "m3", "m4"));
        fleet.target("t2", List.of("m4"), Set.of("m4"));
        fleet.checkIn();
        fleet.ask("m2", LONG_MILLIS);
        fleet.report("t1", 0, "m1");
        fleet.report("t2", 0, "m4");
        fleet.answer(OrderAnswer.ACCEPTED);
        assertThat(fleet.lastOrder().model()).isEqualTo("m2");

        fleet.ask("m3", LONG_MILLIS);
        fleet.pass(60);

        assertThat(fleet.ordered(EngineOrder.Kind.LOAD)).containsExactly("m2");
    }

    @Test
    void models_that_many_targets_hold_at_first_make_way_last() {
        FakeFleet fleet = new FakeFleet("busy", "rare", "wanted");
        fleet.target("t1", List.of("busy", "rare"), Set.of("busy", "rare", "wanted"));
        fleet.target("t2", List.of("busy"), Set.of("busy"));
        fleet.checkIn();
        fleet.ask("wanted", LONG_MILLIS);
        fleet.report("t1", 0, "busy", "rare");

        assertThat(fleet.ordered(EngineOrder.Kind.UNLOAD)).containsExactly("rare");
    }

    @Test
    void a_grant_that_crosses_a_withdrawal_takes_no_place() {
        FakeFleet fleet = new FakeFleet("m1");
        fleet.target("t1", List.of("m1"), Set.of("m1"));
        fleet.checkIn();
        for (int i = 0; i < 20; i++) {
            String key = fleet.ask("m1", LONG_MILLIS);
            assertThat(fleet.granted).containsKey(key);
            fleet.dispatcher.withdraw(key, fleet.nowMillis);
        }
    }

    @Test
    void an_answer_that_crosses_a_check_in_counts() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.target("t1", List.of("m1", "m2"), Set.of("m1", "m2", "m3"));
        fleet.checkIn();
        fleet.ask("m3", LONG_MILLIS);
        Target asked = fleet.targets.get("t1");
        fleet.checkInAgain("t1");
        fleet.dispatcher.reported(
                asked,
                Optional.of(new EngineReport(0, 4, false, fleet.held("m1", "m2"), Set.of(), Set.of())),
                fleet.nowMillis);
        fleet.checkInAgain("t1");
        fleet.answer(OrderAnswer.ACCEPTED);
        fleet.pass(60);

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.LOAD);
    }

    @Test
    void another_target_that_holds_the_model_keeps_a_copy_of_the_run() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.target("t1", List.of("m1"), Set.of("m1"));
        fleet.target("t2", List.of("m1"), Set.of("m1"));
        fleet.target("t3", List.of("m2"), Set.of("m2"));
        fleet.checkIn();

        String twice = fleet.ask("m1", LONG_MILLIS);
        String once = fleet.ask("m2", LONG_MILLIS);

        assertThat(fleet.backups.get(twice)).isIn("t1", "t2").isNotEqualTo(fleet.granted.get(twice));
        assertThat(fleet.backups).doesNotContainKey(once);
    }

    @Test
    void a_target_that_takes_no_order_is_left_for_another() {
        FakeFleet fleet = new FakeFleet("m1", "m2", "m3");
        fleet.target("t1", List.of("m1"), Set.of("m1", "m3"));
        fleet.target("t2", List.of("m2"), Set.of("m2", "m3"));
        fleet.checkIn();
        fleet.ask("m3", LONG_MILLIS);
        fleet.report("t1", 0, "m1");
        fleet.report("t2", 0, "m2");
        String first = fleet.lastOrder().target().id();
        fleet.answer(OrderAnswer.REFUSED);
        fleet.pass(60);
        fleet.report("t1", 0, "m1");
        fleet.report("t2", 0, "m2");
        fleet.pass(60);

        assertThat(fleet.lastOrder().target().id()).isNotEqualTo(first);
    }

    @Test
    void an_overdue_load_from_the_store_lets_others_wait() {
        FakeFleet fleet = new FakeFleet("a", "b", "c", "d", "e", "f", "g", "h");
        for (String model : List.of("a", "b", "c", "d", "e", "f", "h")) {
            fleet.target("t-" + model, List.of(model), Set.of(model));
        }
        fleet.checkIn();
        fleet.ask("g", 60_000);
        fleet.targets
                .keySet()
                .forEach(id -> fleet.report(
                        id, 0, fleet.targets.get(id).models().get(0).name()));
        fleet.answer(OrderAnswer.ACCEPTED);
        fleet.pass(FakeFleet.STORE_MILLIS * 2);
        fleet.targets.remove("t-h");
        fleet.checkIn();
        fleet.ask("h", 60_000);
        fleet.pass(60);

        assertThat(fleet.ordered(EngineOrder.Kind.LOAD)).containsExactly("g");
    }

    @Test
    void gives_no_order_while_the_lease_does_not_hold() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.target("t1", List.of("m1"), Set.of("m1", "m2"));
        fleet.checkIn();
        fleet.dispatcher.ordersAllowed(false);
        fleet.ask("m2", LONG_MILLIS);
        fleet.report("t1", 0, "m1");
        fleet.pass(100);

        assertThat(fleet.orders).isEmpty();
    }

    @Test
    void an_order_without_an_answer_is_given_again_for_the_same_state() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.target("t1", List.of("m1"), Set.of("m1", "m2"));
        fleet.checkIn();
        fleet.ask("m2", LONG_MILLIS);
        fleet.report("t1", 7, "m1");
        fleet.answer(OrderAnswer.UNKNOWN);
        fleet.pass(100);

        assertThat(fleet.orders).hasSize(2);
        assertThat(fleet.orders.get(1).ordersAccepted())
                .isEqualTo(fleet.orders.get(0).ordersAccepted());
    }

    @Test
    void a_replica_in_use_makes_way_where_another_serves_its_model() {
        FakeFleet fleet = new FakeFleet("busy", "a", "b", "wanted");
        fleet.target("t1", List.of("busy", "a"), Set.of("busy", "a", "wanted"));
        fleet.target("t2", List.of("busy", "b"), Set.of("busy", "b", "wanted"));
        fleet.checkIn();
        fleet.askOften("a", LONG_MILLIS);
        fleet.askOften("b", LONG_MILLIS);
        String first = fleet.ask("busy", LONG_MILLIS);
        String second = fleet.ask("busy", LONG_MILLIS);
        assertThat(fleet.granted.get(second)).isNotEqualTo(fleet.granted.get(first));

        String wanted = fleet.ask("wanted", LONG_MILLIS);
        fleet.report("t1", 0, "busy", "a");
        fleet.report("t2", 0, "busy", "b");
        assertThat(fleet.orders).isEmpty();
        String third = fleet.ask("busy", LONG_MILLIS);
        String spared = fleet.granted.get(third);
        String ending = spared.equals(fleet.granted.get(first)) ? second : first;
        fleet.dispatcher.ended(ending, fleet.nowMillis);
        fleet.pass(20);

        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.UNLOAD);
        assertThat(fleet.lastOrder().model()).isEqualTo("busy");
        assertThat(fleet.lastOrder().target().id()).isNotEqualTo(spared);
        assertThat(fleet.refused).doesNotContainKey(wanted);
    }

    @Test
    void a_busy_model_is_loaded_elsewhere_where_it_is_in_the_way_of_the_only_copy_of_another() {
        FakeFleet fleet = new FakeFleet("busy", "lively", "idle", "rare", "wanted");
        fleet.target("t1", List.of("busy", "lively"), Set.of("busy", "lively", "wanted"));
        fleet.target("t2", List.of("idle", "rare"), Set.of("idle", "rare", "busy", "lively"));
        fleet.checkIn();
        fleet.askOften("busy", LONG_MILLIS);
        fleet.askOften("lively", LONG_MILLIS);
        String wanted = fleet.ask("wanted", LONG_MILLIS);
        fleet.carryOutOrders(3_000);

        assertThat(fleet.granted).containsEntry(wanted, "t1");
        assertThat(fleet.holds("t2")).containsAnyOf("busy", "lively");
    }

    @Test
    void a_model_whose_targets_are_full_is_loaded_at_another() {
        FakeFleet fleet = new FakeFleet("m1", "m2");
        fleet.target("t1", List.of("m1"), Set.of("m1"));
        fleet.target("t2", List.of("m1"), Set.of("m1"));
        fleet.target("t3", List.of("m2"), Set.of("m1", "m2"));
        fleet.checkIn();
        for (int i = 0; i < 3 * FakeFleet.SLOTS; i++) {
            fleet.ask("m1", LONG_MILLIS);
        }
        fleet.carryOutOrders(2_000);

        assertThat(fleet.granted).hasSize(3 * FakeFleet.SLOTS).containsValue("t3");
    }

    @Test
    void a_dear_load_from_disk_is_taken_while_the_weight_store_is_busy() {
        FakeFleet fleet = new FakeFleet("held", "second", "fetched", "wanted", "rest");
        fleet.target("t1", List.of("held", "second"), Set.of("wanted"));
        fleet.target("t2", List.of("rest"), Set.of("rest"));
        fleet.checkIn();
        for (int i = 0; i < 5; i++) {
            fleet.dispatcher.ended(fleet.ask("held", LONG_MILLIS), fleet.nowMillis);
            fleet.dispatcher.ended(fleet.ask("second", LONG_MILLIS), fleet.nowMillis);
        }
        fleet.ask("fetched", LONG_MILLIS);
        fleet.carryOutOrders(200);
        String wanted = fleet.ask("wanted", LONG_MILLIS);
        fleet.carryOutOrders(3_000);

        assertThat(fleet.granted).containsEntry(wanted, "t1");
    }

    @Test
    void models_without_a_copy_are_fetched_in_the_order_of_their_demand() {
        FakeFleet fleet = new FakeFleet("held", "a", "b", "c");
        fleet.target("t1", List.of("held"), Set.of("held"));
        fleet.dispatcher.ordersAllowed(false);
        fleet.checkIn();
        fleet.ask("c", 1_000);
        fleet.ask("c", 1_000);
        fleet.ask("b", 1_000);
        fleet.dispatcher.ordersAllowed(true);
        fleet.pass(300);
        fleet.report("t1", 0, "held");

        assertThat(fleet.ordered(EngineOrder.Kind.LOAD)).containsExactly("c");
    }
}
