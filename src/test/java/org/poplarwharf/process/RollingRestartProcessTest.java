package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Restarts every node in turn under load. Time budget: 40 seconds. */
class RollingRestartProcessTest {
    private static final double REQUESTS_PER_SECOND = 40;
    private static final long HEALTH_CHECK_INTERVAL_MILLIS = 500;

    @TempDir
    private Path folder;

    private static VerifiableRequest request(int number) {
        return switch (number % 4) {
            case 0 -> VerifiableRequest.completion(number, "m", 10);
            case 1 -> VerifiableRequest.stream(number, "m", 150);
            case 2 -> VerifiableRequest.lookup(number);
            default -> VerifiableRequest.nonRepeatableCall(number, "rolling-" + number);
        };
    }

    @Test
    @Tag("known-red")
    void no_stream_is_interrupted_and_no_request_is_lost() {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 3));
                LoadBalancer loadBalancer = new LoadBalancer(fleet)) {
            FixedRateTraffic traffic = FixedRateTraffic.start(
                    fleet, loadBalancer::address, RollingRestartProcessTest::request, REQUESTS_PER_SECOND);
            for (String node : fleet.cluster().nodeNames()) {
                PoplarProcess stoppingNode = fleet.cluster().process(node);
                stoppingNode.terminate();
                assertThat(stoppingNode.awaitExit()).isZero();
                fleet.cluster().startNode(node);
                fleet.awaitReady(node);
                eventually("the load balancer uses " + node, () -> loadBalancer.isUsing(node));
            }
            List<CallerResponse> responses = traffic.stopAfter(1_000);
            System.out.printf(
                    "rolling restart: %d of %d requests without a complete response%n",
                    responses.stream()
                            .filter(response -> !response.isSuccessful())
                            .count(),
                    responses.size());
            assertThat(responses).allMatch(CallerResponse::isSuccessful);
            fleet.assertResponsesMatchJournals(traffic.sentRequests());
        }
    }

    /** Selects nodes that were ready at the last health check round robin, as the platform's load balancer does. */
    private static final class LoadBalancer implements AutoCloseable {
        private final Fleet fleet;
        private final AtomicInteger nodeTurns = new AtomicInteger();
        private volatile List<String> readyNodes;
        private volatile boolean closed;

        LoadBalancer(Fleet fleet) {
            this.fleet = fleet;
            this.readyNodes = fleet.cluster().nodeNames();
            Thread healthChecks = new Thread(this::checkHealth, "balancer");
            healthChecks.setDaemon(true);
            healthChecks.start();
        }

        String address() {
            List<String> nodes = readyNodes;
            return fleet.address(nodes.get(Math.floorMod(nodeTurns.getAndIncrement(), nodes.size())));
        }

        boolean isUsing(String node) {
            return readyNodes.contains(node);
        }

        @Override
        public void close() {
            closed = true;
        }

        private void checkHealth() {
            while (!closed) {
                List<String> nowReady = new ArrayList<>();
                for (String node : fleet.cluster().nodeNames()) {
                    if (fleet.isReady(node)) {
                        nowReady.add(node);
                    }
                }
                readyNodes = nowReady.isEmpty() ? readyNodes : new CopyOnWriteArrayList<>(nowReady);
                FixedRateTraffic.sleepMillis(HEALTH_CHECK_INTERVAL_MILLIS);
            }
        }
    }
}
