package org.poplarwharf.internal.place;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.admission.GrantCompletion;
import org.poplarwharf.internal.admission.ReplicaPool;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.peer.PeerMessage;

class CellAdmissionClientTest {
    private static final Grant GRANT = new Grant("g", "t", "127.0.0.1:1", 0, false);
    private static final long LOOP_RUN_MILLIS = 800;
    private static final int MAX_LOOP_RUN_COUNT = 5;

    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();
    private final FakeCluster cluster = new FakeCluster();
    private final CellAdmissionClient client =
            new CellAdmissionClient(loop, MonotonicClock.system(), cluster, cluster, "n1", 1);

    @Test
    void a_permit_is_acquired_from_the_lease_holder_and_released_to_it() {
        Promise<Permit> permit = acquire("r");
        cluster.receive("a:1", new PeerMessage.PermitGranted(lastAttemptId(), GRANT));

        client.release(permit.getResult(), GrantCompletion.Outcome.ANSWERED, 5, 1);

        assertThat(cluster.sent(PeerMessage.ReleasePermit.class))
                .containsExactly(new PeerMessage.ReleasePermit(
                        "c", new GrantCompletion("g", GrantCompletion.Outcome.ANSWERED, 5, 1)));
    }

    @Test
    void a_grant_for_a_cancelled_request_is_released_unused() {
        Promise<Permit> permit = acquire("r");
        client.cancel("r");
        cluster.receive("a:1", new PeerMessage.PermitGranted(lastAttemptId(), GRANT));

        assertThat(permit.isException()).isTrue();
        assertThat(cluster.sent(PeerMessage.CancelPermitRequest.class)).hasSize(1);
        assertThat(cluster.sent(PeerMessage.ReleasePermit.class)
                        .getFirst()
                        .finished()
                        .outcome())
                .isEqualTo(GrantCompletion.Outcome.NOT_SENT);
    }

    @Test
    void a_request_whose_lease_holder_is_lost_is_retried_under_a_new_id() {
        Promise<Permit> permit = acquire("r");
        String firstAttemptId = lastAttemptId();
        cluster.cutLink("a:1");

        assertThat(lastAttemptId()).isNotEqualTo(firstAttemptId);
        cluster.receive("a:1", new PeerMessage.PermitGranted(firstAttemptId, GRANT));
        assertThat(permit.isComplete()).isFalse();
        cluster.receive("a:1", new PeerMessage.PermitGranted(lastAttemptId(), GRANT));
        assertThat(permit.isResult()).isTrue();
    }

    @Test
    void a_refusal_keeps_its_code_and_retry_time() {
        Promise<Permit> permit = acquire("r");
        cluster.receive("a:1", new PeerMessage.RequestFailed(lastAttemptId(), "queue-full", "full", 2_500));

        PoplarWharfException failure = FakeCluster.failure(permit, PoplarWharfException.class);
        assertThat(failure.code()).isEqualTo(FailureCode.QUEUE_FULL);
        assertThat(failure.retryAfterMillis()).hasValue(2_500);
    }

    @Test
    void without_a_reachable_holder_a_warm_replica_is_used_and_a_cold_artifact_is_refused() {
        cluster.linked = false;
        Promise<Permit> cold = acquire("cold");
        runLoop();
        cluster.warmReplicas.add(new ReplicaPool.Replica("t", "127.0.0.1:1", "z", 1, 0, 0));
        Promise<Permit> warm = acquire("warm");
        Promise<Permit> overLimit = acquire("beyond");
        runLoop();

        assertThat(FakeCluster.failure(cold, PoplarWharfException.class).code()).isEqualTo(FailureCode.NO_HOLDER);
        assertThat(warm.getResult().grant().target()).isEqualTo("t");
        assertThat(FakeCluster.failure(overLimit, PoplarWharfException.class).code())
                .isEqualTo(FailureCode.OVERLOADED);
    }

    @Test
    void without_a_holder_a_request_that_lost_its_connections_to_two_replicas_is_refused() {
        cluster.linked = false;
        for (String target : List.of("t1", "t2", "t3")) {
            cluster.warmReplicas.add(new ReplicaPool.Replica(target, "127.0.0.1:1", "z", 1, 0, 0));
        }
        for (int i = 0; i < 2; i++) {
            Promise<Permit> permit = acquire("crashing");
            runLoopUntilComplete(permit);
            String target = permit.getResult().grant().target();
            cluster.warmReplicas.removeIf(replica -> replica.target().equals(target));
            client.release(permit.getResult(), GrantCompletion.Outcome.CONNECTION_LOST, 5, -1);
        }
        Promise<Permit> again = acquire("crashing");
        runLoopUntilComplete(again);

        assertThat(FakeCluster.failure(again, PoplarWharfException.class).code())
                .isEqualTo(FailureCode.CRASH_SUSPECTED);
    }

    private void runLoop() {
        loop.delay(LOOP_RUN_MILLIS, () -> {});
        loop.run();
    }

    private void runLoopUntilComplete(Promise<Permit> permit) {
        for (int i = 0; i < MAX_LOOP_RUN_COUNT && !permit.isComplete(); i++) {
            runLoop();
        }
    }

    private Promise<Permit> acquire(String requestId) {
        return client.acquire(new PermitRequest(FakeCluster.admissionRequest(requestId), Long.MAX_VALUE, 0));
    }

    private String lastAttemptId() {
        List<PeerMessage.RequestPermit> admits = cluster.sent(PeerMessage.RequestPermit.class);
        return admits.getLast().request().requestId();
    }
}
