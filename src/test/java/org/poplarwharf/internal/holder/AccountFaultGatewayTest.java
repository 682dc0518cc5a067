package org.poplarwharf.internal.holder;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.poplarwharf.internal.gateway.AccountSettings;
import org.poplarwharf.support.Eventually;
import org.poplarwharf.support.ScriptedTarget;

/** Keys and quotas of client accounts while the log turns nodes away, or the holder is killed. */
@Timeout(90)
class AccountFaultGatewayTest {
    private static final String ACCOUNTS = "'limits':{},'tenants':[{'name':'a','apiKeys':['key-1','key-2']}]";
    private static final String KEYS_CHANGED = "'limits':{},'tenants':[{'name':'a','apiKeys':['key-2','key-3']}]";
    private static final int PER_SECOND = 20;
    private static final int BURST = 5;
    private static final String LIMITED = "'limits':{},'tenants':[{'name':'a','apiKeys':['key-1'],'ratePerS':"
            + PER_SECOND + ",'burst':" + BURST + "}]";

    private final GatewayCluster cluster = new GatewayCluster();
    private final List<AtomicBoolean> turnedAway = new ArrayList<>();
    private ScriptedTarget target;

    AccountFaultGatewayTest() throws IOException {}

    private void start(int nodeCount, AccountSettings settings, String accounts) throws IOException {
        for (int i = 0; i < nodeCount; i++) {
            turnedAway.add(new AtomicBoolean());
            cluster.startNode(turnedAway.get(i), settings);
        }
        target = cluster.addTarget("desk", "");
        cluster.platform.put("op", "config", GatewayCluster.plan(2, accounts));
        for (GatewayCluster.Node node : cluster.nodes) {
            awaitStatus(node, "key-1", 200);
            awaitStatus(node, "unknown", 401);
        }
    }

    @AfterEach
    void stop() throws IOException {
        cluster.close();
    }

    private int status(GatewayCluster.Node node, String key) {
        try {
            return cluster.send(GatewayCluster.request(node.frontPort(), "/safe/x")
                            .header("Authorization", "Bearer " + key)
                            .GET())
                    .statusCode();
        } catch (IOException e) {
            return -1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return -1;
        }
    }

    private void awaitStatus(GatewayCluster.Node node, String key, int status) {
        Eventually.eventually(
                key + " gives " + status + " at " + node.settings().nodeId(),
                cluster::logs,
                () -> status(node, key) == status);
    }

    private GatewayCluster.Node awaitHolder() {
        Eventually.eventually(
                "a node holds the lease", () -> cluster.nodes.stream().anyMatch(AccountFaultGatewayTest::isHolder));
        return cluster.nodes.stream()
                .filter(AccountFaultGatewayTest::isHolder)
                .findFirst()
                .orElseThrow();
    }

    private static boolean isHolder(GatewayCluster.Node node) {
        return node.log().contains("lease-claimed");
    }

    private void turnAway(GatewayCluster.Node node) {
        turnedAway.get(cluster.nodes.indexOf(node)).set(true);
        Eventually.eventually(
                "the node has lost the plan",
                () -> node.log().lines().anyMatch(line -> line.contains("log-lost") && line.contains("\"plan\"")));
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void node_that_the_log_turns_away_learns_of_a_withdrawn_key_and_does_not_know_a_new_one(boolean isHolder)
            throws Exception {
        start(3, AccountSettings.DEFAULTS, ACCOUNTS);
        GatewayCluster.Node holder = awaitHolder();
        GatewayCluster.Node follower = cluster.nodes.get((cluster.nodes.indexOf(holder) + 1) % 3);
        GatewayCluster.Node cutOff = isHolder ? holder : follower;
        turnAway(cutOff);
        assertThat(status(cutOff, "key-1")).isEqualTo(200);

        cluster.platform.put("op", "config", GatewayCluster.plan(3, KEYS_CHANGED));

        awaitStatus(cutOff, "key-1", 503);
        assertThat(cutOff.log()).contains("keys-learned-from-node").doesNotContain("key-1");
        assertThat(status(cutOff, "key-2")).isEqualTo(200);
        assertThat(status(cutOff, "key-3")).isEqualTo(503);
        awaitStatus(isHolder ? follower : holder, "key-3", 200);
        awaitStatus(isHolder ? follower : holder, "key-1", 401);
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void node_without_the_log_refuses_keys_after_a_while_only_if_revocation_is_strict(boolean isStrict)
            throws Exception {
        start(1, new AccountSettings(isStrict, 500, 8_000, 0.1, 0), ACCOUNTS);
        GatewayCluster.Node node = cluster.nodes.get(0);

        turnAway(node);

        if (isStrict) {
            awaitStatus(node, "key-1", 503);
            turnedAway.get(0).set(false);
            awaitStatus(node, "key-1", 200);
        } else {
            GatewayCluster.pause(1_500);
            assertThat(status(node, "key-1")).isEqualTo(200);
        }
    }

    @Test
    void account_stays_within_its_quota_over_four_nodes_while_the_holder_is_killed() throws Exception {
        start(4, AccountSettings.DEFAULTS, LIMITED);
        List<Long> arrivalMillis = new CopyOnWriteArrayList<>();
        target.onArrival = request -> arrivalMillis.add(System.currentTimeMillis());
        AtomicBoolean stopping = new AtomicBoolean();
        List<Thread> callers = new ArrayList<>();
        for (GatewayCluster.Node node : List.copyOf(cluster.nodes)) {
            callers.add(Thread.startVirtualThread(() -> {
                while (!stopping.get()) {
                    status(node, "key-1");
                    GatewayCluster.pause(20);
                }
            }));
        }

        GatewayCluster.pause(5_000);
        cluster.kill(awaitHolder());
        long killedMillis = System.currentTimeMillis();
        GatewayCluster.pause(9_000);
        stopping.set(true);
        for (Thread caller : callers) {
            caller.join();
        }

        long windowMillis = AccountSettings.DEFAULTS.windowMillis();
        double bound = (PER_SECOND * windowMillis / 1_000.0 + BURST) * 1.1;
        for (long fromMillis : arrivalMillis) {
            assertThat(arrivalMillis)
                    .filteredOn(millis -> millis >= fromMillis && millis < fromMillis + windowMillis)
                    .hasSizeLessThanOrEqualTo((int) bound);
        }
        assertThat(arrivalMillis).anyMatch(millis -> millis > killedMillis + 1_000);
    }
}
