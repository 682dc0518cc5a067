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
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.admission.GrantCompletion;
import org.poplarwharf.internal.admission.ReplicaPool;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.peer.PeerMessage.Call;
import org.poplarwharf.internal.peer.PeerMessage.CallResponse;
import org.poplarwharf.internal.place.AdmissionClient;
import org.poplarwharf.internal.place.Permit;
import org.poplarwharf.internal.place.PermitRequest;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellStateView;
import org.poplarwharf.plugins.ArtifactId;

class ClaimServiceTest {
    private static final CellRecord.Author SELF = new CellRecord.Author("n1", 1);
    private static final long DEADLINE_MILLIS = 100;

    private final Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
    private final InMemoryRecordStream stream = new InMemoryRecordStream();
    private final FakeCellView cells = new FakeCellView();
    private final FixedPermitSource permitSource = new FixedPermitSource();
    private final List<Call> dispatched = new ArrayList<>();
    private final SettablePromise<CallDispatcher.Result> dispatchResult = new SettablePromise<>();
    private long nowMillis;

    private final ClaimService service = newService(SELF);

    @Test
    void a_call_is_claimed_before_dispatch_and_a_repeated_call_gets_the_stored_response() {
        Promise<CallResponse> first = service.call(call("k", "f"));
        assertThat(stream.appendedRecords).hasOnlyElementsOfType(CellRecord.CallClaimed.class);

        dispatchResult.set(new CallDispatcher.Result.ResponseReceived(201, "text/plain", new byte[] {7}));
        eventloop.run();
        Promise<CallResponse> repeated =
                newService(new CellRecord.Author("n2", 1)).call(call("k", "f"));

        assertThat(first.getResult().replayed()).isFalse();
        assertThat(repeated.getResult().status()).isEqualTo(201);
        assertThat(repeated.getResult().body()).containsExactly(7);
        assertThat(repeated.getResult().replayed()).isTrue();
        assertThat(dispatched).hasSize(1);
        assertThat(permitSource.releaseOutcomes).containsExactly(GrantCompletion.Outcome.ANSWERED);
    }

    @Test
    void a_repeated_call_in_progress_shares_the_result_and_another_body_under_the_same_key_is_rejected() {
        Promise<CallResponse> first = service.call(call("k", "f"));
        Promise<CallResponse> sharedResult = service.call(call("k", "f"));

        assertFailedWith(service.call(call("k", "other")), FailureCode.KEY_REUSED);
        dispatchResult.set(new CallDispatcher.Result.ResponseReceived(200, "", new byte[0]));

        assertThat(first.isResult()).isTrue();
        assertThat(sharedResult.getResult().replayed()).isTrue();
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void a_call_is_not_run_again_when_its_holder_died_after_the_claim() {
        service.call(call("k", "f"));

        ClaimService successor = newService(new CellRecord.Author("n2", 1));

        assertFailedWith(successor.call(call("k", "f")), FailureCode.OUTCOME_UNKNOWN);
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void concurrent_claims_of_two_holders_lead_to_one_dispatch() {
        stream.appendMode = InMemoryRecordStream.AppendMode.DELAYED;
        Promise<CallResponse> first = service.call(call("k", "f"));
        Promise<CallResponse> second =
                newService(new CellRecord.Author("n2", 1)).call(call("k", "f"));

        stream.applyPendingAppends();

        assertThat(dispatched).hasSize(1);
        assertThat(first.isComplete()).isFalse();
        assertFailedWith(second, FailureCode.OUTCOME_UNKNOWN);
    }

    @Test
    void a_call_fails_as_not_run_while_the_log_is_unavailable() {
        stream.appendMode = InMemoryRecordStream.AppendMode.UNAVAILABLE;

        assertFailedWith(service.call(call("k", "f")), FailureCode.LOG_UNAVAILABLE);
        assertThat(permitSource.releaseOutcomes).containsExactly(GrantCompletion.Outcome.NOT_SENT);

        stream.appendMode = InMemoryRecordStream.AppendMode.AVAILABLE;
        service.call(call("k", "f"));
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void a_claim_accepted_after_its_attempt_was_withdrawn_is_released_and_never_dispatched() {
        stream.appendMode = InMemoryRecordStream.AppendMode.RESPONSE_LOST;
        assertFailedWith(service.call(call("k", "f")), FailureCode.LOG_UNAVAILABLE);

        stream.applyPendingAppends();

        assertThat(dispatched).isEmpty();
        assertThat(stream.appendedRecords.getLast()).isInstanceOf(CellRecord.CallReleased.class);
        service.call(call("k", "f"));
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void a_claim_accepted_after_the_deadline_is_released_and_its_call_is_not_run() {
        stream.appendMode = InMemoryRecordStream.AppendMode.DELAYED;
        Promise<CallResponse> late = service.call(call("k", "f"));
        nowMillis = DEADLINE_MILLIS;

        stream.applyPendingAppends();

        assertFailedWith(late, FailureCode.DEADLINE_EXCEEDED);
        assertThat(dispatched).isEmpty();
        assertThat(stream.state.callClaim("k")).isEmpty();
    }

    @Test
    void a_call_whose_deadline_passes_after_dispatch_is_not_reported_as_not_run() {
        Promise<CallResponse> dispatchedCall = service.call(call("k", "f"));

        eventloop.delay(2 * DEADLINE_MILLIS, () -> {});
        eventloop.run();

        assertFailedWith(dispatchedCall, FailureCode.DEADLINE_EXCEEDED_RUNNING);
        assertThat(dispatched).hasSize(1);
    }

    @Test
    void an_unsent_call_is_released_and_a_call_that_may_have_been_received_stays_unknown() {
        Promise<CallResponse> notSent = service.call(call("k", "f"));
        dispatchResult.set(new CallDispatcher.Result.NotSent(null));
        assertFailedWith(notSent, FailureCode.TARGET_UNREACHABLE);
        assertThat(stream.state.callClaim("k")).isEmpty();

        Promise<CallResponse> unknown = newService(
                        (permit, call) -> Promise.of(new CallDispatcher.Result.OutcomeUnknown(null)))
                .call(call("k2", "f"));
        assertFailedWith(unknown, FailureCode.OUTCOME_UNKNOWN);
        assertFailedWith(service.call(call("k2", "f")), FailureCode.OUTCOME_UNKNOWN);
    }

    @Test
    void call_that_its_target_refused_without_proof_is_not_refused_as_not_run_and_the_target_does_not_count_as_lost() {
        Promise<CallResponse> refused = service.call(call("k", "f"));
        dispatchResult.set(new CallDispatcher.Result.UnprovenRefusal(503));

        assertFailedWith(refused, FailureCode.OUTCOME_UNKNOWN);
        assertFailedWith(service.call(call("k", "f")), FailureCode.OUTCOME_UNKNOWN);
        assertThat(permitSource.releaseOutcomes).containsExactly(GrantCompletion.Outcome.ANSWERED);
    }

    @Test
    void an_outcome_that_could_not_be_logged_is_replayed_from_memory() {
        service.call(call("k", "f"));
        stream.appendMode = InMemoryRecordStream.AppendMode.UNAVAILABLE;
        dispatchResult.set(new CallDispatcher.Result.ResponseReceived(200, "", new byte[] {1}));

        assertThat(service.call(call("k", "f")).getResult().body()).containsExactly(1);
        assertThat(dispatched).hasSize(1);
        service.stop();
    }

    @Test
    void a_node_that_does_not_hold_the_lease_of_the_cell_runs_no_call() {
        cells.holdsLease = false;

        assertFailedWith(service.call(call("k", "f")), FailureCode.NO_HOLDER);
        assertThat(dispatched).isEmpty();
    }

    private static void assertFailedWith(Promise<CallResponse> promise, FailureCode code) {
        assertThat(promise.getException()).isInstanceOf(PoplarWharfException.class);
        assertThat(((PoplarWharfException) promise.getException()).code()).isEqualTo(code);
    }

    private ClaimService newService(CellRecord.Author author) {
        CallDispatcher dispatcher = (permit, call) -> {
            dispatched.add(call);
            return dispatchResult;
        };
        return new ClaimService(
                eventloop, () -> nowMillis, cells, () -> Optional.of(permitSource), dispatcher, author, 3_600_000);
    }

    private ClaimService newService(CallDispatcher dispatcher) {
        CellRecord.Author author = new CellRecord.Author("n2", 1);
        return new ClaimService(
                eventloop, () -> nowMillis, cells, () -> Optional.of(permitSource), dispatcher, author, 3_600_000);
    }

    private static Call call(String key, String fingerprint) {
        AdmissionRequest admission = new AdmissionRequest(
                "r", ArtifactId.service("ledger"), "c", "t", "a", DEADLINE_MILLIS, fingerprint, 0, List.of());
        return new Call("c", "r", key, fingerprint, admission, "POST", "/confirm", "", new byte[0]);
    }

    private static final class FixedPermitSource implements AdmissionClient {
        private final List<GrantCompletion.Outcome> releaseOutcomes = new ArrayList<>();

        @Override
        public Promise<Permit> acquire(PermitRequest request) {
            return Promise.of(
                    new Permit(Optional.of("c"), Optional.empty(), new Grant("g", "t", "127.0.0.1:1", 0, false)));
        }

        @Override
        public void cancel(String requestId) {}

        @Override
        public void release(Permit permit, GrantCompletion.Outcome outcome, long serviceMillis, long firstByteMillis) {
            releaseOutcomes.add(outcome);
        }
    }

    private final class FakeCellView implements CellView, AdmissionController {
        private boolean holdsLease = true;

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
        public Optional<AdmissionController> localAdmission(String cell) {
            return holdsLease ? Optional.of(this) : Optional.empty();
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
        public List<ReplicaPool.Replica> lastKnownReplicas(ArtifactId artifact) {
            return List.of();
        }

        @Override
        public boolean isCondemned(String fingerprint) {
            return false;
        }

        @Override
        public Promise<Grant> admit(String nodeId, AdmissionRequest request) {
            return Promise.ofException(new IllegalStateException());
        }

        @Override
        public void cancel(String requestId) {}

        @Override
        public void release(GrantCompletion finished) {}

        @Override
        public Counts counts() {
            throw new IllegalStateException();
        }

        @Override
        public void close() {}

        @Override
        public void clearSuspect(String fingerprint) {}

        @Override
        public void onTargetAlive(String target) {}

        @Override
        public org.poplarwharf.internal.admission.TargetDeathReport onTargetDied(String target, String deathId) {
            throw new IllegalStateException();
        }

        @Override
        public void onNodeLost(String nodeId) {}
    }
}
