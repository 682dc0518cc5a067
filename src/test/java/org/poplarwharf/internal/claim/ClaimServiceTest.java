package org.poplarwharf.internal.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.Admission;
import org.poplarwharf.internal.admission.AdmitRequest;
import org.poplarwharf.internal.admission.Finished;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.admission.Replicas;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.peer.PeerMessage.Call;
import org.poplarwharf.internal.peer.PeerMessage.CallAnswer;
import org.poplarwharf.internal.place.Place;
import org.poplarwharf.internal.place.PlaceRequest;
import org.poplarwharf.internal.place.PlaceSource;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.plugins.ArtifactId;

class ClaimServiceTest {
    private static final CellRecord.Author SELF = new CellRecord.Author("n1", 1);
    private static final long DEADLINE_MILLIS = 100;

    private final Eventloop loop = Eventloop.builder().withCurrentThread().build();
    private final InMemoryRecordStream stream = new InMemoryRecordStream();
    private final Cells cells = new Cells();
    private final Places places = new Places();
    private final List<Call> dispatched = new ArrayList<>();
    private final SettablePromise<CallDispatcher.Result> result = new SettablePromise<>();
    private long nowMillis;

    private final ClaimService service = service(SELF);

    @Test
    void a_call_is_claimed_before_it_is_dispatched_and_its_repeat_gets_the_kept_answer() {
        Promise<CallAnswer> first = service.call(call("k", "f"));
        assertThat(stream.appended).hasOnlyElementsOfType(CellRecord.CallClaimed.class);

        result.set(new CallDispatcher.Result.ResponseReceived(201, "text/plain", new byte[] {7}));
        loop.run();
        Promise<CallAnswer> repeat = service(new CellRecord.Author("n2", 1)).call(call("k", "f"));

        assertThat(first.getResult().replayed()).isFalse();
        assertThat(repeat.getResult().status()).isEqualTo(201);
        assertThat(repeat.getResult().body()).containsExactly(7);
        assertThat(repeat.getResult().replayed()).isTrue();
        assertThat(dispatched).hasSize(1);
        assertThat(places.givenBack).containsExactly(Finished.Outcome.ANSWERED);
    }

    @Test
    void a_repeat_while_it_runs_joins_and_another_body_under_the_key_is_refused() {
        Promise<CallAnswer> first = service.call(call("k", "f"));
        Promise<CallAnswer> joined = service.call(call("k", "f"));

        assertFailed(service.call(call("k", "other")), FailureCode.KEY_REUSED);
        result.set(new CallDispatcher.Result.ResponseReceived(200, "", new byte[0]));

        assertThat(first.isResult()).isTrue();
        assertThat(joined.getResult().replayed()).isTrue();
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void a_call_whose_holder_died_after_the_claim_is_not_repeated() {
        service.call(call("k", "f"));

        ClaimService successor = service(new CellRecord.Author("n2", 1));

        assertFailed(successor.call(call("k", "f")), FailureCode.OUTCOME_UNKNOWN);
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void two_holders_that_claim_at_once_dispatch_once() {
        stream.appendMode = InMemoryRecordStream.AppendMode.DELAYED;
        Promise<CallAnswer> first = service.call(call("k", "f"));
        Promise<CallAnswer> second = service(new CellRecord.Author("n2", 1)).call(call("k", "f"));

        stream.applyPendingAppends();

        assertThat(dispatched).hasSize(1);
        assertThat(first.isComplete()).isFalse();
        assertFailed(second, FailureCode.OUTCOME_UNKNOWN);
    }

    @Test
    void while_the_log_is_down_a_call_is_refused_as_not_run() {
        stream.appendMode = InMemoryRecordStream.AppendMode.UNAVAILABLE;

        assertFailed(service.call(call("k", "f")), FailureCode.LOG_UNAVAILABLE);
        assertThat(places.givenBack).containsExactly(Finished.Outcome.NOT_SENT);

        stream.appendMode = InMemoryRecordStream.AppendMode.AVAILABLE;
        service.call(call("k", "f"));
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void a_claim_that_appears_after_its_attempt_was_withdrawn_is_released_and_never_dispatched() {
        stream.appendMode = InMemoryRecordStream.AppendMode.RESPONSE_LOST;
        assertFailed(service.call(call("k", "f")), FailureCode.LOG_UNAVAILABLE);

        stream.applyPendingAppends();

        assertThat(dispatched).isEmpty();
        assertThat(stream.appended.getLast()).isInstanceOf(CellRecord.CallReleased.class);
        service.call(call("k", "f"));
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void a_claim_accepted_after_the_deadline_is_released_and_not_run() {
        stream.appendMode = InMemoryRecordStream.AppendMode.DELAYED;
        Promise<CallAnswer> late = service.call(call("k", "f"));
        nowMillis = DEADLINE_MILLIS;

        stream.applyPendingAppends();

        assertFailed(late, FailureCode.DEADLINE_EXCEEDED);
        assertThat(dispatched).isEmpty();
        assertThat(stream.state.callClaim("k")).isEmpty();
    }

    @Test
    void a_deadline_while_it_runs_does_not_say_not_run() {
        Promise<CallAnswer> running = service.call(call("k", "f"));

        loop.delay(2 * DEADLINE_MILLIS, () -> {});
        loop.run();

        assertFailed(running, FailureCode.DEADLINE_EXCEEDED_RUNNING);
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void a_call_that_never_left_is_released_and_one_that_may_have_arrived_is_unknown_for_good() {
        Promise<CallAnswer> notSent = service.call(call("k", "f"));
        result.set(new CallDispatcher.Result.NotSent(null));
        assertFailed(notSent, FailureCode.TARGET_UNREACHABLE);
        assertThat(stream.state.callClaim("k")).isEmpty();

        Promise<CallAnswer> unknown = service(
                        (place, call) -> Promise.of(new CallDispatcher.Result.OutcomeUnknown(null)))
                .call(call("k2", "f"));
        assertFailed(unknown, FailureCode.OUTCOME_UNKNOWN);
        assertFailed(service.call(call("k2", "f")), FailureCode.OUTCOME_UNKNOWN);
    }

    @Test
    void an_outcome_that_the_log_did_not_take_is_replayed_from_memory() {
        service.call(call("k", "f"));
        stream.appendMode = InMemoryRecordStream.AppendMode.UNAVAILABLE;
        result.set(new CallDispatcher.Result.ResponseReceived(200, "", new byte[] {1}));

        assertThat(service.call(call("k", "f")).getResult().body()).containsExactly(1);
        assertThat(dispatched).hasSize(1);
        service.stop();
    }

    @Test
    void a_node_that_does_not_hold_the_cell_runs_nothing() {
        cells.holding = false;

        assertFailed(service.call(call("k", "f")), FailureCode.NO_HOLDER);
        assertThat(dispatched).isEmpty();
    }

    private static void assertFailed(Promise<CallAnswer> promise, FailureCode code) {
        assertThat(promise.getException()).isInstanceOf(PoplarWharfException.class);
        assertThat(((PoplarWharfException) promise.getException()).code()).isEqualTo(code);
    }

    private ClaimService service(CellRecord.Author author) {
        CallDispatcher dispatcher = (place, call) -> {
            dispatched.add(call);
            return result;
        };
        return new ClaimService(loop, () -> nowMillis, cells, () -> Optional.of(places), dispatcher, author, 3_600_000);
    }

    private ClaimService service(CallDispatcher dispatcher) {
        CellRecord.Author author = new CellRecord.Author("n2", 1);
        return new ClaimService(loop, () -> nowMillis, cells, () -> Optional.of(places), dispatcher, author, 3_600_000);
    }

    private static Call call(String key, String fingerprint) {
        AdmitRequest admission = new AdmitRequest(
                "r", ArtifactId.service("ledger"), "c", "t", "a", DEADLINE_MILLIS, fingerprint, 0, List.of());
        return new Call("c", "r", key, fingerprint, admission, "POST", "/confirm", "", new byte[0]);
    }

    private static final class Places implements PlaceSource {
        private final List<Finished.Outcome> givenBack = new ArrayList<>();

        @Override
        public Promise<Place> ask(PlaceRequest request) {
            return Promise.of(
                    new Place(Optional.of("c"), Optional.empty(), new Grant("g", "t", "127.0.0.1:1", 0, false)));
        }

        @Override
        public void withdraw(String requestId) {}

        @Override
        public void giveBack(Place place, Finished.Outcome outcome, long serviceMillis, long firstByteMillis) {
            givenBack.add(outcome);
        }
    }

    private final class Cells implements CellView, Admission {
        private boolean holding = true;

        @Override
        public List<String> cellsFor(ArtifactId artifact, String zone) {
            return List.of("c");
        }

        @Override
        public Optional<String> cellForCall(String callKey) {
            return Optional.of("c");
        }

        @Override
        public Optional<Holder> holder(String cell) {
            return Optional.empty();
        }

        @Override
        public Optional<Admission> localAdmission(String cell) {
            return holding ? Optional.of(this) : Optional.empty();
        }

        @Override
        public Optional<RecordStream<CellRecord>> stream(String cell) {
            return Optional.of(stream);
        }

        @Override
        public Optional<CellStateView> state(String cell) {
            return Optional.of(stream.state);
        }

        @Override
        public List<Replicas.Replica> lastKnownReplicas(ArtifactId artifact) {
            return List.of();
        }

        @Override
        public boolean condemned(String fingerprint) {
            return false;
        }

        @Override
        public Promise<Grant> admit(String nodeId, AdmitRequest request) {
            return Promise.ofException(new IllegalStateException());
        }

        @Override
        public void withdraw(String requestId) {}

        @Override
        public void finished(Finished finished) {}

        @Override
        public Counts counts() {
            throw new IllegalStateException();
        }

        @Override
        public void close() {}

        @Override
        public void lifted(String fingerprint) {}

        @Override
        public void targetAlive(String target) {}

        @Override
        public org.poplarwharf.internal.admission.DeathReport targetDied(String target, String deathId) {
            throw new IllegalStateException();
        }

        @Override
        public void nodeLost(String nodeId) {}
    }
}
