package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Every node is restarted under load. Budget: 40 seconds. */
class RollingRestartProcessTest {
    private static final double PER_SECOND = 40;
    private static final long BALANCER_CHECK_MILLIS = 500;

    @TempDir
    private Path folder;

    private static CallerRequest request(int number) {
        return switch (number % 4) {
            case 0 -> CallerRequest.completion(number, "m", 10);
            case 1 -> CallerRequest.stream(number, "m", 150);
            case 2 -> CallerRequest.lookup(number);
            default -> CallerRequest.call(number, "rolling-" + number);
        };
    }

    @Test
    void no_stream_is_cut_and_no_request_is_lost() {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 3));
                Balancer balancer = new Balancer(fleet)) {
            Traffic traffic = Traffic.start(fleet, balancer::address, RollingRestartProcessTest::request, PER_SECOND);
            for (String node : fleet.cluster().nodeNames()) {
                PoplarProcess leaving = fleet.cluster().process(node);
                leaving.terminate();
                assertThat(leaving.awaitExit()).isZero();
                fleet.cluster().startNode(node);
                fleet.awaitReady(node);
                eventually("the balancer uses " + node, () -> balancer.uses(node));
            }
            List<CallerAnswer> answers = traffic.stopAfter(1_000);
            System.out.printf(
                    "rolling restart: %d of %d requests not answered whole%n",
                    answers.stream().filter(answer -> !answer.good()).count(), answers.size());
            assertThat(answers).allMatch(CallerAnswer::good);
            fleet.assertTruthful(traffic.sent());
        }
    }

    /** Sends to the nodes that were ready at its last check, as the platform's balancer does. */
    private static final class Balancer implements AutoCloseable {
        private final Fleet fleet;
        private final AtomicInteger turns = new AtomicInteger();
        private volatile List<String> ready;
        private volatile boolean closed;

        Balancer(Fleet fleet) {
            this.fleet = fleet;
            this.ready = fleet.cluster().nodeNames();
            Thread checks = new Thread(this::check, "balancer");
            checks.setDaemon(true);
            checks.start();
        }

        String address() {
            List<String> now = ready;
            return fleet.address(now.get(Math.floorMod(turns.getAndIncrement(), now.size())));
        }

        boolean uses(String node) {
            return ready.contains(node);
        }

        @Override
        public void close() {
            closed = true;
        }

        private void check() {
            while (!closed) {
                List<String> found = new ArrayList<>();
                for (String node : fleet.cluster().nodeNames()) {
                    if (fleet.ready(node)) {
                        found.add(node);
                    }
                }
                ready = found.isEmpty() ? ready : new CopyOnWriteArrayList<>(found);
                Traffic.pause(BALANCER_CHECK_MILLIS);
            }
        }
    }
}
