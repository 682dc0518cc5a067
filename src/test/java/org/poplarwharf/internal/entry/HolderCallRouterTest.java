package org.poplarwharf.internal.entry;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.claim.ClaimService;
import org.poplarwharf.internal.config.FleetConfig;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.FakeCluster;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.plugins.ArtifactId;

class HolderCallRouterTest {
    private static final long TIMEOUT_MILLIS = 200;

    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();
    private final MonotonicClock clock = MonotonicClock.system();
    private final FakeCluster cluster = new FakeCluster();
    private final ClaimService service = new ClaimService(
            loop, clock, cluster, Optional::empty, (permit, call) -> null, new CellRecord.Author("n1", 1), 3_600_000);
    private final HolderCallRouter router =
            new HolderCallRouter(loop, clock, cluster, cluster, service, "z", new RequestIdGenerator("n1", 1));

    @Test
    void sends_a_call_to_the_holder_and_forwards_its_response() {
        Promise<PeerMessage.CallResponse> response = router.start(request());

        cluster.receive("a:1", new PeerMessage.CallResponse(lastAttemptId(), 200, "", new byte[0], true));

        assertThat(response.getResult().replayed()).isTrue();
    }

    @Test
    void call_that_the_holder_rejects_fails_as_not_run() {
        Promise<PeerMessage.CallResponse> response = router.start(request());

        cluster.receive("a:1", new PeerMessage.RequestFailed(lastAttemptId(), "log-unavailable", "down", 100));

        assertThat(failureCode(response)).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void retried_call_never_fails_as_not_run_when_its_key_has_a_claim() {
        CallerRequest request = request();
        cluster.state.apply(
                1, new CellRecord.CallClaimed(request.callKey(), "earlier", new CellRecord.Author("n3", 1), "f"));
        Promise<PeerMessage.CallResponse> response = router.start(request);

        cluster.receive("a:1", new PeerMessage.RequestFailed(lastAttemptId(), "log-unavailable", "down", 100));

        assertThat(failureCode(response)).isEqualTo(FailureCode.OUTCOME_UNKNOWN);
    }

    @Test
    void after_a_lost_connection_the_next_holder_gets_the_call_and_its_rejection_is_an_unknown_outcome() {
        Promise<PeerMessage.CallResponse> response = router.start(request());
        String firstAttemptId = lastAttemptId();
        cluster.holderAddress = Optional.of("b:1");
        cluster.cutLink("a:1");

        assertThat(lastAttemptId()).isNotEqualTo(firstAttemptId);
        cluster.receive("b:1", new PeerMessage.RequestFailed(lastAttemptId(), "deadline-unreachable", "busy", 100));

        assertThat(failureCode(response)).isEqualTo(FailureCode.OUTCOME_UNKNOWN);
    }

    @Test
    void at_the_deadline_only_a_call_that_was_never_sent_fails_as_not_run() {
        Promise<PeerMessage.CallResponse> sentCall = router.start(request());
        cluster.linked = false;
        Promise<PeerMessage.CallResponse> unsentCall = router.start(request());

        loop.delay(2 * TIMEOUT_MILLIS, () -> {});
        loop.run();

        assertThat(failureCode(sentCall)).isEqualTo(FailureCode.DEADLINE_EXCEEDED_RUNNING);
        assertThat(failureCode(unsentCall)).isEqualTo(FailureCode.DEADLINE_EXCEEDED);
    }

    private String lastAttemptId() {
        return cluster.sent(PeerMessage.Call.class).getLast().requestId();
    }

    private static FailureCode failureCode(Promise<?> promise) {
        return FakeCluster.failure(promise, PoplarWharfException.class).code();
    }

    private CallerRequest request() {
        long nowMillis = clock.nowMillis();
        return new CallerRequest(
                "r",
                ArtifactId.service("ledger"),
                "t",
                new FleetConfig.ClassSpec("c", 1, 0, 1),
                nowMillis,
                nowMillis + TIMEOUT_MILLIS,
                "POST",
                "/confirm",
                "",
                new byte[0],
                false,
                "f",
                0,
                Optional.of("k"),
                true);
    }
}
