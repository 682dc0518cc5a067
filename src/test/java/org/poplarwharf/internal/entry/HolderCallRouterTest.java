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
    private static final long DEADLINE_MILLIS = 200;

    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();
    private final MonotonicClock clock = MonotonicClock.system();
    private final FakeCluster cluster = new FakeCluster();
    private final ClaimService service = new ClaimService(
            loop, clock, cluster, Optional::empty, (place, call) -> null, new CellRecord.Author("n1", 1), 3_600_000);
    private final HolderCallRouter calls =
            new HolderCallRouter(loop, clock, cluster, cluster, service, "z", new RequestIdGenerator("n1", 1));

    @Test
    void a_call_is_handed_to_the_holder_and_its_answer_given_on() {
        Promise<PeerMessage.CallAnswer> answer = calls.start(request());

        cluster.receive("a:1", new PeerMessage.CallAnswer(lastId(), 200, "", new byte[0], true));

        assertThat(answer.getResult().replayed()).isTrue();
    }

    @Test
    void a_refusal_of_the_holder_that_was_asked_is_not_run() {
        Promise<PeerMessage.CallAnswer> answer = calls.start(request());

        cluster.receive("a:1", new PeerMessage.Failed(lastId(), "log-unavailable", "down", 100));

        assertThat(code(answer)).isEqualTo(FailureCode.LOG_UNAVAILABLE);
    }

    @Test
    void a_repeat_of_a_key_that_was_claimed_before_is_never_told_that_it_was_not_run() {
        CallerRequest request = request();
        cluster.state.apply(
                1, new CellRecord.CallClaimed(request.callKey(), "earlier", new CellRecord.Author("n3", 1), "f"));
        Promise<PeerMessage.CallAnswer> answer = calls.start(request);

        cluster.receive("a:1", new PeerMessage.Failed(lastId(), "log-unavailable", "down", 100));

        assertThat(code(answer)).isEqualTo(FailureCode.OUTCOME_UNKNOWN);
    }

    @Test
    void after_a_lost_hand_over_the_next_holder_is_asked_and_its_refusal_is_an_unknown_outcome() {
        Promise<PeerMessage.CallAnswer> answer = calls.start(request());
        String firstId = lastId();
        cluster.holderAddress = Optional.of("b:1");
        cluster.cut("a:1");

        assertThat(lastId()).isNotEqualTo(firstId);
        cluster.receive("b:1", new PeerMessage.Failed(lastId(), "deadline-unreachable", "busy", 100));

        assertThat(code(answer)).isEqualTo(FailureCode.OUTCOME_UNKNOWN);
    }

    @Test
    void at_the_deadline_a_call_that_was_handed_over_is_not_called_not_run_and_one_that_was_not_is() {
        Promise<PeerMessage.CallAnswer> handedOver = calls.start(request());
        cluster.linked = false;
        Promise<PeerMessage.CallAnswer> kept = calls.start(request());

        loop.delay(2 * DEADLINE_MILLIS, () -> {});
        loop.run();

        assertThat(code(handedOver)).isEqualTo(FailureCode.DEADLINE_EXCEEDED_RUNNING);
        assertThat(code(kept)).isEqualTo(FailureCode.DEADLINE_EXCEEDED);
    }

    private String lastId() {
        return cluster.sent(PeerMessage.Call.class).getLast().requestId();
    }

    private static FailureCode code(Promise<?> promise) {
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
                nowMillis + DEADLINE_MILLIS,
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
