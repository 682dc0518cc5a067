package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.poplarwharf.internal.dispatch.EngineOrder;
import org.poplarwharf.internal.dispatch.EngineReport;
import org.poplarwharf.internal.dispatch.OrderResult;
import org.poplarwharf.internal.fleet.Target;
import org.poplarwharf.internal.kernel.DecisionLog;
import org.poplarwharf.internal.lease.HolderLease;
import org.poplarwharf.internal.lease.HolderLeaseListener;
import org.poplarwharf.internal.lease.LeaseClocks;
import org.poplarwharf.internal.lease.LeaseRecord;
import org.poplarwharf.internal.lease.LeaseTimings;
import org.poplarwharf.support.FakeKeyedLog;

/**
 * Fencing numbers in the order in which orders reach a target that gets the first one late, after its sender has given
 * it up as unknown and has sent another.
 */
class OrderFencingTest {
    private static final long STEP_MILLIS = 50;
    private static final long ORDER_TIMEOUT_MILLIS = 300;
    private static final long PROMPT_MILLIS = 1;
    private static final long LATE_MILLIS = 2_000;
    private static final long MIN_GAP_MILLIS = 3_000;

    private static final Target TARGET = new Target(
            "t1",
            1,
            1,
            "service",
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            "z1",
            1,
            false,
            OptionalLong.empty(),
            "v1",
            List.of(),
            Set.of(),
            Set.of());

    private final FakeKeyedLog leaseLog = new FakeKeyedLog();
    private final FakeTarget target = new FakeTarget();
    private final Node first = new Node("n1");
    private final Node second = new Node("n2");
    private long nowMillis = 100_000;

    @Test
    void late_order_carries_no_lower_number_than_those_before_it_when_the_log_was_restored_meanwhile() {
        first.lease.start();
        second.lease.start();
        advance(5_000);
        first.order("m1", LATE_MILLIS);
        leaseLog.restore(0);
        orderPromptlyUntil(first, nowMillis + LATE_MILLIS);
        advance(LATE_MILLIS);

        assertThat(first.results.get(0)).isEqualTo(OrderResult.UNKNOWN);
        assertThat(target.arrivedModels()).containsSubsequence("m2", "m1");
        assertThat(target.arrivedFencingNumbers()).isSorted();
    }

    @Test
    void late_order_carries_no_lower_number_than_those_before_it_when_the_lease_expired_and_was_claimed_again() {
        first.lease.start();
        second.lease.start();
        advance(5_000);
        leaseLog.unavailable = true;
        while (first.lease.mayOrder()) {
            if (!first.isOrderInFlight()) {
                first.order("m1", LATE_MILLIS);
            }
            advance(STEP_MILLIS);
        }
        leaseLog.unavailable = false;
        orderPromptlyUntil(first, nowMillis + LATE_MILLIS);
        advance(LATE_MILLIS);

        assertThat(target.arrivedModels()).containsSubsequence("m2", "m1");
        assertThat(target.arrivedFencingNumbers()).isSorted();
    }

    @Test
    void orders_of_the_next_holder_carry_higher_numbers_and_come_after_the_gap_when_the_log_was_restored_twice() {
        first.lease.start();
        second.lease.start();
        advance(5_000);
        leaseLog.restore(0);
        advance(3_000);
        leaseLog.restore(1);
        advance(3_000);
        first.order("m1", LATE_MILLIS);
        long latestOrderMillis = nowMillis;
        long highestFencingNumber = first.lease.fencingNumber();
        first.lease.resign();
        while (!second.lease.mayOrder()) {
            advance(STEP_MILLIS);
        }
        second.order("m2", PROMPT_MILLIS);
        advance(LATE_MILLIS);

        assertThat(nowMillis - LATE_MILLIS - latestOrderMillis).isGreaterThanOrEqualTo(MIN_GAP_MILLIS);
        assertThat(second.lease.fencingNumber()).isGreaterThan(highestFencingNumber);
        assertThat(target.arrivedModels()).containsExactly("m1", "m2");
        assertThat(target.arrivedFencingNumbers()).isSorted();
    }

    /** Sends an order whenever the one before is settled, as a dispatcher does. */
    private void orderPromptlyUntil(Node node, long untilMillis) {
        while (nowMillis + STEP_MILLIS < untilMillis) {
            advance(STEP_MILLIS);
            if (!node.isOrderInFlight() && node.lease.mayOrder()) {
                node.order("m2", PROMPT_MILLIS);
            }
        }
    }

    private void advance(long millis) {
        for (long untilMillis = nowMillis + millis; nowMillis < untilMillis; ) {
            nowMillis += STEP_MILLIS;
            target.receive();
            first.runDueTasks();
            second.runDueTasks();
        }
    }

    /** Receives each order after its own delay, however long ago its sender has given it up. */
    private final class FakeTarget {
        private final List<Arrival> underWay = new ArrayList<>();
        private final List<Arrival> arrived = new ArrayList<>();

        record Arrival(long atMillis, String model, long fencingNumber) {}

        void receive() {
            underWay.stream()
                    .filter(arrival -> arrival.atMillis() <= nowMillis)
                    .sorted(Comparator.comparingLong(Arrival::atMillis))
                    .forEach(arrived::add);
            underWay.removeAll(arrived);
        }

        List<String> arrivedModels() {
            return arrived.stream().map(Arrival::model).toList();
        }

        List<Long> arrivedFencingNumbers() {
            return arrived.stream().map(Arrival::fencingNumber).toList();
        }
    }

    /** A node with a lease whose orders reach the target after a delay. */
    private final class Node implements EngineClient, HolderLeaseListener, LeaseClocks {
        final HolderLease lease;
        final List<OrderResult> results = new ArrayList<>();
        private final List<Task> tasks = new ArrayList<>();
        private final EngineOrderSender sender;
        private long delayMillis;
        private int sentCount;

        private record Task(long atMillis, Runnable action) {}

        Node(String id) {
            LeaseRecord self = new LeaseRecord(id, id + "/1", "127.0.0.1:1", 0, 0, 0, false);
            LeaseTimings timings = LeaseTimings.withOrderGap(MIN_GAP_MILLIS);
            lease = new HolderLease("lease", self, timings, leaseLog, this::schedule, this, this);
            DecisionLog log = new DecisionLog(id, "z1", new PrintStream(OutputStream.nullOutputStream()));
            sender = new EngineOrderSender(id, this, this::schedule, log);
        }

        void order(String model, long orderDelayMillis) {
            delayMillis = orderDelayMillis;
            sentCount++;
            EngineOrder order = new EngineOrder(TARGET, EngineOrder.Kind.LOAD, model, Optional.empty(), 0);
            sender.send(order, Optional.of(lease), results::add);
        }

        boolean isOrderInFlight() {
            return results.size() < sentCount;
        }

        void runDueTasks() {
            List<Task> due =
                    tasks.stream().filter(task -> task.atMillis() <= nowMillis).toList();
            tasks.removeAll(due);
            due.forEach(task -> task.action().run());
        }

        private void schedule(long taskDelayMillis, Runnable action) {
            tasks.add(new Task(nowMillis + taskDelayMillis, action));
        }

        @Override
        public void sendOrder(EngineOrder order, String holder, long fencingNumber, Consumer<OrderResult> callback) {
            target.underWay.add(new FakeTarget.Arrival(nowMillis + delayMillis, order.model(), fencingNumber));
            boolean late = delayMillis > ORDER_TIMEOUT_MILLIS;
            schedule(
                    Math.min(delayMillis, ORDER_TIMEOUT_MILLIS),
                    () -> callback.accept(late ? OrderResult.UNKNOWN : OrderResult.CONFLICT));
        }

        @Override
        public void fetchReport(Target reportingTarget, Consumer<Optional<EngineReport>> callback) {
            throw new UnsupportedOperationException("these tests send orders only");
        }

        @Override
        public long steadyMillis() {
            return nowMillis;
        }

        @Override
        public long wallMillis() {
            return nowMillis;
        }

        @Override
        public void claimed(long fencingNumber) {
            // The tests read the lease itself.
        }

        @Override
        public boolean reachesTargets() {
            return true;
        }

        @Override
        public void expired() {
            // The tests read the lease itself.
        }

        @Override
        public void lost(String reason) {
            // The tests read the lease itself.
        }

        @Override
        public void holderFound(LeaseRecord holder) {
            // The tests read the lease itself.
        }

        @Override
        public boolean isHolderResponding() {
            return false;
        }
    }
}
