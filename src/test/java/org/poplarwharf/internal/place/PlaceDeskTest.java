package org.poplarwharf.internal.place;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.Finished;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.admission.Replicas;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.peer.PeerMessage;

class PlaceDeskTest {
    private static final Grant GRANT = new Grant("g", "t", "127.0.0.1:1", 0, false);
    private static final long LONG_ENOUGH_MILLIS = 800;

    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();
    private final FakeCluster cluster = new FakeCluster();
    private final PlaceDesk desk = new PlaceDesk(loop, MonotonicClock.system(), cluster, cluster, "n1", 1);

    @Test
    void a_place_comes_from_the_holder_and_goes_back_to_it() {
        Promise<Place> place = ask("r");
        cluster.receive("a:1", new PeerMessage.PermitGranted(lastWireId(), GRANT));

        desk.giveBack(place.getResult(), Finished.Outcome.ANSWERED, 5, 1);

        assertThat(cluster.sent(PeerMessage.ReleasePermit.class))
                .containsExactly(
                        new PeerMessage.ReleasePermit("c", new Finished("g", Finished.Outcome.ANSWERED, 5, 1)));
    }

    @Test
    void a_grant_for_a_wish_that_was_withdrawn_goes_back_unused() {
        Promise<Place> place = ask("r");
        desk.withdraw("r");
        cluster.receive("a:1", new PeerMessage.PermitGranted(lastWireId(), GRANT));

        assertThat(place.isException()).isTrue();
        assertThat(cluster.sent(PeerMessage.CancelPermitRequest.class)).hasSize(1);
        assertThat(cluster.sent(PeerMessage.ReleasePermit.class)
                        .getFirst()
                        .finished()
                        .outcome())
                .isEqualTo(Finished.Outcome.NOT_SENT);
    }

    @Test
    void a_wish_whose_holder_is_lost_is_asked_again_under_another_id() {
        Promise<Place> place = ask("r");
        String firstId = lastWireId();
        cluster.cut("a:1");

        assertThat(lastWireId()).isNotEqualTo(firstId);
        cluster.receive("a:1", new PeerMessage.PermitGranted(firstId, GRANT));
        assertThat(place.isComplete()).isFalse();
        cluster.receive("a:1", new PeerMessage.PermitGranted(lastWireId(), GRANT));
        assertThat(place.isResult()).isTrue();
    }

    @Test
    void a_refusal_keeps_its_code_and_its_retry_time() {
        Promise<Place> place = ask("r");
        cluster.receive("a:1", new PeerMessage.RequestFailed(lastWireId(), "queue-full", "full", 2_500));

        PoplarWharfException failure = FakeCluster.failure(place, PoplarWharfException.class);
        assertThat(failure.code()).isEqualTo(FailureCode.QUEUE_FULL);
        assertThat(failure.retryAfterMillis()).hasValue(2_500);
    }

    @Test
    void without_a_reachable_holder_a_warm_replica_is_taken_and_a_cold_artifact_refused() {
        cluster.linked = false;
        Promise<Place> cold = ask("cold");
        runLoop();
        cluster.warm.add(new Replicas.Replica("t", "127.0.0.1:1", "z", 1, 0, 0));
        Promise<Place> warm = ask("warm");
        Promise<Place> beyond = ask("beyond");
        runLoop();

        assertThat(FakeCluster.failure(cold, PoplarWharfException.class).code()).isEqualTo(FailureCode.NO_HOLDER);
        assertThat(warm.getResult().grant().target()).isEqualTo("t");
        assertThat(FakeCluster.failure(beyond, PoplarWharfException.class).code())
                .isEqualTo(FailureCode.OVERLOADED);
    }

    private void runLoop() {
        loop.delay(LONG_ENOUGH_MILLIS, () -> {});
        loop.run();
    }

    private Promise<Place> ask(String requestId) {
        return desk.ask(new PlaceRequest(FakeCluster.admission(requestId), Long.MAX_VALUE, 0));
    }

    private String lastWireId() {
        List<PeerMessage.RequestPermit> admits = cluster.sent(PeerMessage.RequestPermit.class);
        return admits.getLast().request().requestId();
    }
}
