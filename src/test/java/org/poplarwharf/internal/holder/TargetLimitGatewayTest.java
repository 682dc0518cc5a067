package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
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
    private final AtomicInteger refusedCount = new AtomicInteger();
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

    @Test
    void limit_is_kept_through_a_change_of_the_lease_holder() throws Exception {
        start("lm", MODELS);
        sendFor(SETTLING_MILLIS, "/lm/x");
        GatewayCluster.Node holder = cluster.nodes.stream()
                .filter(node -> node.log().contains("lease-claimed"))
                .findFirst()
                .orElseThrow();
        cluster.nodes.remove(holder);
        holder.gateway().drainAndStop();
        sendFor(2 * WINDOW_MILLIS, "/lm/x");

        assertThat(mostArrivalsInWindow()).isLessThanOrEqualTo(allowedCount());
        assertThat(arrivalMillis.get(arrivalMillis.size() - 1))
                .as("requests reach the target again after the change")
                .isGreaterThan(System.currentTimeMillis() - WINDOW_MILLIS);
    }

    @Test
    void requests_pass_without_a_permit_again_once_the_target_names_no_limit() throws Exception {
        start("desk", "");
        sendFor(SETTLING_MILLIS, "/safe/x");
        cluster.targets.get(0).requestsPerSecondLimit = OptionalDouble.empty();
        sendFor(2_500, "/safe/x");
        int arrivalCount = arrivalMillis.size();
        sendFor(1_000, "/safe/x");

        assertThat(arrivalMillis.size() - arrivalCount).isGreaterThanOrEqualTo(5);
    }

    @Test
    void another_plain_target_takes_the_requests_that_a_limit_keeps_out() throws Exception {
        start("desk", "");
        cluster.addTarget("desk", "");
        sendFor(SETTLING_MILLIS, "/once/x");

        assertThat(refusedCount).hasValue(0);
    }

    @Test
    void request_without_a_permit_is_refused_at_once_as_not_run_with_the_time_of_the_next_permit() throws Exception {
        start("desk", "");
        sendFor(1_000, "/once/x");
        HttpResponse<String> response = null;
        for (int i = 0; i < 4; i++) {
            response = cluster.post(cluster.nodes.get(0).frontPort(), "/once/x");
        }

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(Double.parseDouble(
                        response.headers().firstValue("Retry-After").orElseThrow()))
                .isBetween(0.0, 2.1);
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
            GatewayCluster.Node node = cluster.nodes.get(i % cluster.nodes.size());
            HttpResponse<String> response = cluster.send(GatewayCluster.request(node.frontPort(), path)
                    .header("X-Model", "m1")
                    .header("X-Token-Counts", "10,10")
                    .POST(HttpRequest.BodyPublishers.ofString("body")));
            if (response.statusCode() == 503) {
                refusedCount.incrementAndGet();
            }
            GatewayCluster.pause(REQUEST_INTERVAL_MILLIS);
        }
    }
}
