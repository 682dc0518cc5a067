package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.poplarwharf.support.ScriptedTarget;

/** Sends more requests to several nodes than a target in need takes, according to the limit in its responses. */
@Timeout(90)
class TargetLimitGatewayTest {
    private static final int NODE_COUNT = 3;
    private static final double REQUESTS_PER_SECOND = 1;
    private static final long REQUEST_INTERVAL_MILLIS = 100;
    private static final long WINDOW_MILLIS = 4_000;

    /** The time after the first response with the limit from which the limit must be kept. */
    private static final long SETTLING_MILLIS = 3_000;

    private static final long OBSERVED_MILLIS = SETTLING_MILLIS + 2 * WINDOW_MILLIS;
    private static final String MODELS = ",'models':[{'name':'m1','version':1,'adapters':[]}],'atHand':{}";

    private final List<Long> arrivalMillis = new CopyOnWriteArrayList<>();
    private GatewayCluster cluster;

    private void start(String service, String extraFields) throws IOException {
        cluster = new GatewayCluster();
        for (int i = 0; i < NODE_COUNT; i++) {
            cluster.startNode();
        }
        ScriptedTarget target = cluster.addTarget(service, extraFields);
        target.requestsPerSecondLimit = OptionalDouble.of(REQUESTS_PER_SECOND);
        target.onArrival = request -> arrivalMillis.add(System.currentTimeMillis());
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    @Test
    void engine_that_names_a_limit_gets_no_more_requests_from_all_nodes_together() throws Exception {
        start("lm", MODELS);
        sendFor(OBSERVED_MILLIS, "/lm/x");

        assertThat(mostArrivalsInWindow()).isLessThanOrEqualTo(allowedCount());
    }

    @Test
    void plain_target_that_names_a_limit_gets_no_more_requests_from_all_nodes_together() throws Exception {
        start("desk", "");
        sendFor(OBSERVED_MILLIS, "/safe/x");

        assertThat(mostArrivalsInWindow()).isLessThanOrEqualTo(allowedCount());
    }

    private static long allowedCount() {
        return (long) (1.5 * REQUESTS_PER_SECOND * WINDOW_MILLIS / 1_000 + 5);
    }

    /** Returns the most arrivals within any window that begins after the settling time. */
    private long mostArrivalsInWindow() {
        List<Long> arrivals = new ArrayList<>(arrivalMillis);
        long fromMillis = arrivals.get(0) + SETTLING_MILLIS;
        return arrivals.stream()
                .filter(start -> start >= fromMillis)
                .mapToLong(start -> arrivals.stream()
                        .filter(other -> other >= start && other < start + WINDOW_MILLIS)
                        .count())
                .max()
                .orElse(0);
    }

    private void sendFor(long millis, String path) throws IOException, InterruptedException {
        long endMillis = System.currentTimeMillis() + millis;
        for (int i = 0; System.currentTimeMillis() < endMillis; i++) {
            GatewayCluster.Node node = cluster.nodes.get(i % NODE_COUNT);
            cluster.send(GatewayCluster.request(node.frontPort(), path)
                    .header("X-Model", "m1")
                    .header("X-Token-Counts", "10,10")
                    .POST(HttpRequest.BodyPublishers.ofString("body")));
            GatewayCluster.pause(REQUEST_INTERVAL_MILLIS);
        }
    }
}
