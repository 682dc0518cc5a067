package org.poplarwharf.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.poplarwharf.support.Eventually.eventually;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.poplarwharf.internal.standin.LogFaults;
import org.poplarwharf.internal.standin.ServiceFaults;

/**
 * Sends calls with one idempotency key to several nodes, also while the lease holder dies or responses of the log are lost.
 * Time budget: 35 seconds.
 */
class AtMostOnceProcessTest {
    private static final int KEY_COUNT = 30;

    @TempDir
    private Path folder;

    private static List<VerifiableRequest> callsWithKey(Fleet fleet, String key) {
        List<VerifiableRequest> calls = new ArrayList<>();
        for (int node = 0; node < 3; node++) {
            calls.add(VerifiableRequest.nonRepeatableCall(fleet.nextRequestNumber(), key));
        }
        return calls;
    }

    @Test
    void a_key_sent_concurrently_to_three_nodes_runs_once_and_all_get_its_response() {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 1))) {
            List<VerifiableRequest> sent = new ArrayList<>();
            for (int key = 0; key < KEY_COUNT; key++) {
                sent.addAll(callsWithKey(fleet, "at-once-" + key));
            }
            assertThat(fleet.callerClient().sendAllAndAwait(fleet.addresses(), sent))
                    .allMatch(CallerResponse::isSuccessful);
            assertThat(fleet.cluster().serviceJournal()).hasSize(KEY_COUNT);
            fleet.assertResponsesMatchJournals(sent);
        }
    }

    @Test
    void a_key_runs_at_most_once_when_responses_of_the_log_are_lost() {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 1))) {
            List<VerifiableRequest> sent = new ArrayList<>();
            for (int round = 0; round < 10; round++) {
                fleet.cluster().setFaults("log", LogFaults.loseNextResponses(2, round % 2 == 0));
                List<VerifiableRequest> calls = callsWithKey(fleet, "lost-" + round);
                fleet.callerClient().sendAllAndAwait(fleet.addresses(), calls);
                sent.addAll(calls);
            }
            fleet.cluster().setFaults("log", LogFaults.none());
            List<VerifiableRequest> retries = new ArrayList<>();
            for (int round = 0; round < 10; round++) {
                retries.addAll(callsWithKey(fleet, "lost-" + round));
            }
            assertThat(fleet.callerClient().sendAllAndAwait(fleet.addresses(), retries))
                    .allMatch(CallerResponse::isSuccessful);
            sent.addAll(retries);
            fleet.assertResponsesMatchJournals(sent);
        }
    }

    /** The state of the call when the lease holder dies. */
    private enum Step {
        /** The append of the claim to the log is in flight. */
        CLAIMING,
        /** The target has run the call and not responded yet. */
        RUNNING,
        /** The caller has the response; its record is not in the log yet. */
        ANSWERED
    }

    @Test
    void a_key_runs_at_most_once_when_the_lease_holder_dies_at_any_step() {
        try (Fleet fleet = Fleet.start(folder, ClusterSettings.of(3, 1))) {
            List<VerifiableRequest> sent = new ArrayList<>();
            for (Step step : Step.values()) {
                sent.addAll(killHolderAt(fleet, step));
            }
            fleet.assertResponsesMatchJournals(sent);
        }
    }

    private static List<VerifiableRequest> killHolderAt(Fleet fleet, Step step) {
        Cluster cluster = fleet.cluster();
        eventually("a node holds the cell", () -> !fleet.holder().isEmpty());
        String holder = fleet.holder();
        String otherNode = cluster.nodeNames().stream()
                .filter(node -> !node.equals(holder))
                .findFirst()
                .orElseThrow();
        cluster.setFaults("service", ServiceFaults.none(step == Step.RUNNING ? 1_000 : 0));
        int runsBefore = cluster.serviceJournal().size();
        VerifiableRequest call = VerifiableRequest.nonRepeatableCall(fleet.nextRequestNumber(), "step-" + step);
        if (step == Step.CLAIMING) {
            cluster.setFaults("log", new LogFaults(false, false, 500, 0, 0, false));
        }
        CompletableFuture<CallerResponse> response = fleet.callerClient().send(fleet.address(otherNode), call);
        switch (step) {
            case CLAIMING -> FixedRateTraffic.sleepMillis(200);
            case RUNNING ->
                eventually(
                        "the service runs the call",
                        () -> cluster.serviceJournal().size() > runsBefore);
            case ANSWERED -> {
                CallerClient.await(response);
            }
        }
        cluster.process(holder).kill();
        cluster.setFaults("log", LogFaults.none());
        List<VerifiableRequest> sent = new ArrayList<>(List.of(call));
        for (int repeat = 0; repeat < 3; repeat++) {
            VerifiableRequest retry = VerifiableRequest.nonRepeatableCall(fleet.nextRequestNumber(), "step-" + step);
            sent.add(retry);
            fleet.callerClient().sendAndAwait(fleet.address(otherNode), retry);
        }
        fleet.callerClient().recordResponse(CallerClient.await(response));
        cluster.startNode(holder);
        fleet.awaitReady(holder);
        eventually("calls succeed again", () -> {
            VerifiableRequest newCall = VerifiableRequest.nonRepeatableCall(
                    fleet.nextRequestNumber(), "fresh-" + step + fleet.nextRequestNumber());
            sent.add(newCall);
            return fleet.callerClient()
                    .sendAndAwait(fleet.address(otherNode), newCall)
                    .isSuccessful();
        });
        return sent;
    }
}
