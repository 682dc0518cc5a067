package org.poplarwharf.internal.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Failed connections count against a target only as far as the path of one node can't be their cause. */
class DispatcherPathFailureTest {
    private static final long DEADLINE_MILLIS = 1_000;

    private final FakeFleet fleet = new FakeFleet("m1");

    @BeforeEach
    void addNodesAndTarget() {
        List.of("n1", "n2", "n3").forEach(fleet.nodes::add);
        fleet.addTarget("t1", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
    }

    private String submitFrom(String node) {
        fleet.node = node;
        return fleet.submit("m1", DEADLINE_MILLIS);
    }

    private boolean isGrantedTo(String node) {
        String key = submitFrom(node);
        fleet.dispatcher.withdraw(key, fleet.nowMillis);
        return fleet.granted.containsKey(key);
    }

    private void failFrom(String node) {
        fail(submitFrom(node));
    }

    private void fail(String key) {
        assertThat(fleet.granted).containsKey(key);
        fleet.dispatcher.recordOutcome(key, new RunOutcome.ConnectionFailed(), fleet.nowMillis);
    }

    private void respondTo(String key) {
        fleet.dispatcher.recordOutcome(key, new RunOutcome.FirstEventReceived(50, Optional.empty()), fleet.nowMillis);
    }

    @Test
    void failure_of_one_node_keeps_the_target_from_that_node_only() {
        failFrom("n1");

        assertThat(isGrantedTo("n1")).isFalse();
        assertThat(isGrantedTo("n2")).isTrue();
        assertThat(isGrantedTo(RequestNodes.OWN)).isTrue();
    }

    @Test
    void node_whose_connection_failed_is_granted_another_target() {
        fleet.addTarget("t2", List.of("m1"), Set.of("m1"));
        fleet.sendAllHeartbeats();
        String first = submitFrom("n1");
        fail(first);
        String second = submitFrom("n1");

        assertThat(fleet.granted.get(second)).isNotNull().isNotEqualTo(fleet.granted.get(first));
    }

    @Test
    void failures_of_two_nodes_keep_the_target_from_all() {
        failFrom("n1");
        failFrom("n2");

        assertThat(isGrantedTo("n3")).isFalse();
        assertThat(isGrantedTo(RequestNodes.OWN)).isFalse();
    }

    /** Guards against a crashed target that takes two failures after each backoff. */
    @Test
    void one_more_failure_doubles_the_time_that_a_crashed_target_is_kept_from_all() {
        failFrom("n1");
        failFrom("n2");
        fleet.advanceMillis(501);
        failFrom("n3");
        fleet.advanceMillis(999);
        assertThat(isGrantedTo("n1")).isFalse();

        fleet.advanceMillis(1);
        assertThat(isGrantedTo("n1")).isTrue();
    }

    /** Guards against a crashed target that fails many requests until all nodes avoid it. */
    @ParameterizedTest
    @CsvSource({"n1,4", "n1 n2 n3,5"})
    void crashed_target_fails_one_request_more_at_several_nodes_than_at_one(String nodes, int maxFailureCount) {
        String[] names = nodes.split(" ");
        int failureCount = 0;
        for (int i = 0; i < 500; i++) {
            String key = submitFrom(names[i % names.length]);
            if (fleet.granted.containsKey(key)) {
                fail(key);
                failureCount++;
            }
            fleet.dispatcher.withdraw(key, fleet.nowMillis);
            fleet.advanceMillis(10);
        }

        assertThat(failureCount).isLessThanOrEqualTo(maxFailureCount);
    }

    @Test
    void failures_of_nodes_that_reach_no_target_keep_it_from_none_of_the_others() {
        fleet.nodes.recordState("n1", false, fleet.nowMillis);
        fleet.nodes.recordState("n2", false, fleet.nowMillis);
        failFrom("n1");
        failFrom("n2");

        assertThat(isGrantedTo("n3")).isTrue();
    }

    /** The failures by which nodes learn that they reach no target arrive before they say so. */
    @Test
    void failures_before_nodes_state_that_they_reach_no_target_stop_to_count() {
        failFrom("n1");
        failFrom("n2");
        fleet.nodes.recordState("n1", false, fleet.nowMillis);
        assertThat(isGrantedTo("n3")).isTrue();
        fleet.advanceMillis(100);

        fleet.nodes.recordState("n1", true, fleet.nowMillis);
        assertThat(isGrantedTo("n3")).isTrue();
    }

    @Test
    void failure_counts_alone_if_no_other_node_reaches_targets() {
        for (String node : List.of("n1", "n2", RequestNodes.OWN)) {
            fleet.nodes.recordState(node, false, fleet.nowMillis);
        }
        failFrom("n3");

        assertThat(isGrantedTo(RequestNodes.OWN)).isFalse();
    }

    @Test
    void response_to_another_node_shows_that_the_failure_was_the_path() {
        String slow = submitFrom("n3");
        failFrom("n1");
        respondTo(slow);
        failFrom("n2");

        assertThat(isGrantedTo("n3")).isTrue();
    }

    @Test
    void node_gets_grants_again_after_the_backoff() {
        failFrom("n1");
        fleet.advanceMillis(501);

        assertThat(isGrantedTo("n1")).isTrue();
    }
}
