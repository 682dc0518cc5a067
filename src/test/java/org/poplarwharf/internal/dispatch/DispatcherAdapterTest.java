package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.poplarwharf.internal.fleet.LoadedModel;

/** Shows the load of an adapter by a report before the response to the order arrives. */
class DispatcherAdapterTest {
    private static final long LONG_DEADLINE_MILLIS = 13_000;
    private static final long ORDER_RETRY_MILLIS = 60;

    private final FakeFleet fleet = new FakeFleet("m1");
    private String request;

    private static final long RUN_MILLIS = 400;

    @BeforeEach
    void orderLoad() {
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        request = fleet.submit("m1", Optional.of("a1"), LONG_DEADLINE_MILLIS);
        fleet.report("t1", 4, "m1");
        assertThat(fleet.lastOrder().kind()).isEqualTo(EngineOrder.Kind.LOAD);
    }

    private void reportLoaded(String... adapters) {
        fleet.report("t1", 5, false, List.of(new LoadedModel("m1", Set.of(adapters))));
    }

    /** Guards against an adapter that is loaded but gets no requests until its target restarts. */
    @ParameterizedTest
    @EnumSource(
            value = OrderResult.class,
            names = {"ACCEPTED", "HOLDS", "CONFLICT", "UNKNOWN"})
    void adapter_that_a_report_shows_gets_requests_whatever_its_order_results_in(OrderResult result) {
        reportLoaded("a1");
        fleet.completeLastOrder(result);
        fleet.advanceMillis(ORDER_RETRY_MILLIS);

        assertThat(fleet.granted).containsEntry(request, "t1");
    }

    /** The same after an order that was carried out without a response, and so was repeated in vain. */
    @Test
    void adapter_whose_first_order_got_no_response_gets_requests() {
        fleet.completeLastOrder(OrderResult.UNKNOWN);
        fleet.advanceMillis(ORDER_RETRY_MILLIS);
        assertThat(fleet.orders).hasSize(2);
        reportLoaded("a1");
        fleet.completeLastOrder(OrderResult.CONFLICT);
        fleet.advanceMillis(ORDER_RETRY_MILLIS);

        assertThat(fleet.granted).containsEntry(request, "t1");
    }

    /** Guards against requests that are sent for an adapter whose load a report does not show. */
    @Test
    void adapter_that_a_report_lacks_gets_no_requests() {
        reportLoaded();
        fleet.completeLastOrder(OrderResult.CONFLICT);
        fleet.advanceMillis(ORDER_RETRY_MILLIS);

        assertThat(fleet.granted).isEmpty();
        assertThat(fleet.lastOrder().expectedOrdersAccepted()).isEqualTo(5);
    }

    /** Guards against an adapter that waits forever since others, in all slots, are in constant use. */
    @Test
    void adapter_gets_a_slot_although_the_adapters_in_all_slots_are_always_in_use() {
        FakeFleet busyFleet = new FakeFleet("m1");
        busyFleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        busyFleet.sendAllHeartbeats();
        List<String> running = new ArrayList<>();
        String waiting = null;
        for (int i = 0; i < 20; i++) {
            List<String> next = List.of(
                    busyFleet.submit("m1", Optional.of("a1"), LONG_DEADLINE_MILLIS),
                    busyFleet.submit("m1", Optional.of("a2"), LONG_DEADLINE_MILLIS));
            if (i == 2) {
                waiting = busyFleet.submit("m1", Optional.of("a3"), LONG_DEADLINE_MILLIS);
            }
            busyFleet.executeOrdersFor(RUN_MILLIS);
            running.forEach(key -> busyFleet.dispatcher.endRun(key, busyFleet.nowMillis));
            running = new ArrayList<>(next);
        }

        assertThat(busyFleet.granted).containsEntry(waiting, "t1");
    }
}
