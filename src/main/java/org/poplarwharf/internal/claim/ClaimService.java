package org.poplarwharf.internal.claim;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.admission.GrantCompletion.Outcome;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.AdmissionClient;
import org.poplarwharf.internal.place.Permit;
import org.poplarwharf.internal.place.PermitRequest;
import org.poplarwharf.internal.state.CellRecord;
import org.poplarwharf.internal.state.CellRecord.CallOutcome;
import org.poplarwharf.internal.state.CellStateView;

/**
 * Runs calls that may not be repeated, at the holder of the cell that keeps their claims.
 *
 * <p>Invariants: a call is dispatched only after the fold accepted the claim of this very attempt, once, and never after
 * the attempt was given up. "Not run" is said only once the attempt can't be dispatched any more. Belongs to the control
 * thread.
 */
public final class ClaimService {
    static final long COMMIT_LIMIT_MILLIS = 5_000;

    private static final long CLAIM_LIMIT_MILLIS = 2_000;
    private static final long END_RETRY_MILLIS = 1_000;
    private static final long RETRY_AFTER_MILLIS = 2_000;
    private static final long FORGET_MILLIS = 5_000;
    private static final int MAX_RUNNING = 10_000;
    private static final int MAX_CLAIMS = 50_000;
    private static final int MAX_ANSWER_BYTES = 4_096;
    private static final long MAX_KEPT_BYTES = 32 << 20;
    private static final byte[] NO_ANSWER = {};

    private final Eventloop control;
    private final MonotonicClock clock;
    private final CellView cells;
    private final Supplier<Optional<AdmissionClient>> places;
    private final CallDispatcher dispatcher;
    private final CellRecord.Author self;
    private final long keyValidityMillis;
    private final Map<String, RunningCall> running = new HashMap<>();
    private final Map<String, ClaimRecords> records = new HashMap<>();
    private long nextAttempt;
    private boolean stopped;

    public ClaimService(
            Eventloop control,
            MonotonicClock clock,
            CellView cells,
            Supplier<Optional<AdmissionClient>> places,
            CallDispatcher dispatcher,
            CellRecord.Author self,
            long keyValidityMillis) {
        this.keyValidityMillis = keyValidityMillis;
        this.control = control;
        this.clock = clock;
        this.cells = cells;
        this.places = places;
        this.dispatcher = dispatcher;
        this.self = self;
    }

    /** Begins to forget claims that have outlived their keys. */
    public void start() {
        if (stopped) {
            return;
        }
        records.keySet().forEach(this::forget);
        control.delayBackground(FORGET_MILLIS, this::start);
    }

    public void stop() {
        stopped = true;
    }

    /** Tells whether no call is between its arrival and the record of its outcome. */
    public boolean idle() {
        return running.isEmpty();
    }

    /** Runs a call, joins it where it is running, or returns what became of it. */
    public Promise<PeerMessage.CallResponse> call(PeerMessage.Call call) {
        RunningCall present = running.get(call.callKey());
        if (present != null) {
            return join(present, call);
        }
        Optional<CellStateView> state = cells.state(call.cell());
        Optional<RecordStream<CellRecord>> stream = cells.stream(call.cell());
        boolean holding = cells.localAdmission(call.cell()).isPresent();
        if (!holding || state.isEmpty() || stream.isEmpty() || !stream.get().isCaughtUp()) {
            return Promise.ofException(Reporter.leaseLost(call.cell()));
        }
        ClaimRecords known =
                records.computeIfAbsent(call.cell(), c -> new ClaimRecords(clock, stream.get(), keyValidityMillis));
        Optional<CellStateView.CallClaim> claim = state.get().call(call.callKey());
        if (claim.isPresent()) {
            return outcome(call, claim.get(), known);
        }
        if (running.size() >= MAX_RUNNING || state.get().callCount() >= MAX_CLAIMS) {
            return Promise.ofException(CallerReporter.overloaded("Too many calls are claimed in " + call.cell() + "."));
        }
        return begin(call);
    }

    private Promise<PeerMessage.CallResponse> begin(PeerMessage.Call call) {
        Optional<AdmissionClient> source = places.get();
        if (source.isEmpty()) {
            return Promise.ofException(Reporter.leaseLost(call.cell()));
        }
        String attemptId = self.nodeId() + "-" + self.incarnation() + "-" + nextAttempt++;
        RunningCall begun = new RunningCall(call, attemptId);
        running.put(call.callKey(), begun);
        Promise<PeerMessage.CallResponse> answer = join(begun, call);
        source.get().acquire(placeRequest(begun)).whenComplete((place, e) -> placed(begun, place, e));
        return answer;
    }

    private PermitRequest placeRequest(RunningCall begun) {
        AdmissionRequest asked = begun.call().admission();
        AdmissionRequest own = new AdmissionRequest(
                begun.attemptId(),
                asked.artifact(),
                asked.requestClass(),
                asked.tenant(),
                asked.zone(),
                asked.remainingMillis(),
                asked.fingerprint(),
                asked.prefixHash(),
                asked.excludedTargets());
        return new PermitRequest(own, begun.deadlineMillis(), 0);
    }

    private Promise<PeerMessage.CallResponse> join(RunningCall present, PeerMessage.Call call) {
        if (!present.call().bodyFingerprint().equals(call.bodyFingerprint())) {
            return Promise.ofException(CallerReporter.keyReused(call.callKey()));
        }
        long leftMillis = Math.max(1, call.admission().remainingMillis());
        RunningCall.Joiner joiner = present.join(call.requestId(), clock.nowMillis() + leftMillis);
        if (!joiner.promise().isComplete()) {
            control.delayBackground(leftMillis, () -> deadlinePassed(present, joiner));
        }
        return joiner.promise();
    }

    private void deadlinePassed(RunningCall call, RunningCall.Joiner joiner) {
        if (joiner.promise().isComplete()) {
            return;
        }
        boolean last = call.leave(joiner);
        boolean givenUp = last && call.beforeDispatch();
        if (givenUp) {
            giveUp(call);
        }
        joiner.promise()
                .trySetException(
                        CallerReporter.deadlineExceeded(call.call().admission().artifact(), !givenUp));
    }

    private void giveUp(RunningCall call) {
        withdrawn(call);
        places.get().ifPresent(source -> source.cancel(call.attemptId()));
        call.phase(RunningCall.Phase.WITHDRAWN);
    }

    private void withdrawn(RunningCall call) {
        recordsOf(call).withdraw(call.attemptId());
        running.remove(call.call().callKey(), call);
        giveBack(call, Outcome.NOT_SENT);
    }

    private void placed(RunningCall call, Permit place, Exception e) {
        if (place != null) {
            call.place(place);
        }
        if (call.phase() != RunningCall.Phase.WAITING) {
            giveBack(call, Outcome.NOT_SENT);
            return;
        }
        if (e != null) {
            running.remove(call.call().callKey(), call);
            call.failed(RunningCall.Phase.WITHDRAWN, known(e));
            return;
        }
        call.phase(RunningCall.Phase.CLAIMING);
        PeerMessage.Call message = call.call();
        long limitMillis = Math.clamp(call.deadlineMillis() - clock.nowMillis(), 1, CLAIM_LIMIT_MILLIS);
        streamOf(call)
                .commit(
                        new CellRecord.CallClaimed(
                                message.callKey(), call.attemptId(), self, message.bodyFingerprint()),
                        limitMillis)
                .whenComplete((applied, failure) -> claimed(call, applied, failure));
    }

    private void claimed(RunningCall call, RecordStream.ApplyResult applied, Exception e) {
        if (call.phase() != RunningCall.Phase.CLAIMING) {
            if (applied != null && applied.accepted()) {
                release(call);
            }
            return;
        }
        if (e != null) {
            withdrawn(call);
            call.failed(
                    RunningCall.Phase.WITHDRAWN,
                    Reporter.logUnavailable(CellRecord.stream(call.call().cell()), RETRY_AFTER_MILLIS, e));
            return;
        }
        if (!applied.accepted()) {
            claimLost(call);
            return;
        }
        if (clock.nowMillis() >= call.deadlineMillis()) {
            withdrawn(call);
            release(call);
            call.failed(
                    RunningCall.Phase.WITHDRAWN,
                    CallerReporter.deadlineExceeded(call.call().admission().artifact(), false));
            return;
        }
        call.phase(RunningCall.Phase.DISPATCHED);
        dispatcher.dispatch(call.place().orElseThrow(), call.call()).whenResult(result -> ended(call, result));
    }

    /** Another attempt holds the key: its outcome is this one's. */
    private void claimLost(RunningCall call) {
        withdrawn(call);
        Optional<CellStateView.CallClaim> claim = cells.state(call.call().cell())
                .flatMap(state -> state.call(call.call().callKey()));
        if (claim.isEmpty()) {
            call.failed(
                    RunningCall.Phase.WITHDRAWN,
                    Reporter.logUnavailable(CellRecord.stream(call.call().cell()), RETRY_AFTER_MILLIS, null));
            return;
        }
        outcome(call.call(), claim.get(), recordsOf(call)).whenComplete((answer, e) -> {
            if (e != null) {
                call.failed(RunningCall.Phase.WITHDRAWN, known(e));
                return;
            }
            call.answered(new CallDispatcher.Result.Answered(answer.status(), answer.contentType(), answer.body()));
        });
    }

    private void ended(RunningCall call, CallDispatcher.Result result) {
        switch (result) {
            case CallDispatcher.Result.Answered answered -> {
                giveBack(call, Outcome.ANSWERED);
                call.answered(answered);
                recordEnd(call, endedRecord(call, answered));
            }
            case CallDispatcher.Result.NotSent notSent -> {
                String target =
                        call.place().map(place -> place.grant().target()).orElse("");
                giveBack(call, Outcome.CONNECT_FAILED);
                withdrawn(call);
                release(call);
                call.failed(RunningCall.Phase.WITHDRAWN, CallerReporter.targetUnreachable(target, notSent.cause()));
            }
            case CallDispatcher.Result.Unknown unknown -> {
                giveBack(call, Outcome.CONNECTION_LOST);
                call.failed(
                        RunningCall.Phase.ENDED,
                        CallerReporter.outcomeUnknown(
                                call.call().callKey(), "The target gave no whole answer after the call was sent."));
                recordEnd(
                        call,
                        new CellRecord.CallEnded(
                                call.call().callKey(), call.attemptId(), CallOutcome.UNKNOWN, 0, "", NO_ANSWER, false));
            }
        }
    }

    private CellRecord.CallEnded endedRecord(RunningCall call, CallDispatcher.Result.Answered answered) {
        int bytes = answered.body().length;
        boolean kept = bytes <= MAX_ANSWER_BYTES && recordsOf(call).keptBytes() + bytes <= MAX_KEPT_BYTES;
        return new CellRecord.CallEnded(
                call.call().callKey(),
                call.attemptId(),
                CallOutcome.ANSWERED,
                answered.status(),
                answered.contentType(),
                kept ? answered.body() : NO_ANSWER,
                kept);
    }

    /** Appends the outcome until the fold has it; until then repeats are answered from memory. */
    private void recordEnd(RunningCall call, CellRecord.CallEnded record) {
        if (stopped) {
            return;
        }
        streamOf(call).commit(record, COMMIT_LIMIT_MILLIS).whenComplete((applied, e) -> {
            if (e == null) {
                running.remove(call.call().callKey(), call);
                return;
            }
            control.delayBackground(END_RETRY_MILLIS, () -> recordEnd(call, record));
        });
    }

    private Promise<PeerMessage.CallResponse> outcome(
            PeerMessage.Call call, CellStateView.CallClaim claim, ClaimRecords known) {
        if (!claim.bodyFingerprint().equals(call.bodyFingerprint())) {
            return Promise.ofException(CallerReporter.keyReused(call.callKey()));
        }
        if (claim.outcome().equals(Optional.of(CallOutcome.ANSWERED)) && claim.answerKept()) {
            return Promise.of(new PeerMessage.CallResponse(
                    call.requestId(), claim.status(), claim.contentType(), claim.answer(), true));
        }
        if (claim.outcome().isEmpty() && claim.author().equals(self) && known.withdrawn(claim.attemptId())) {
            known.release(claim.callKey(), claim.attemptId(), COMMIT_LIMIT_MILLIS);
            return Promise.ofException(
                    Reporter.logUnavailable(CellRecord.stream(call.cell()), RETRY_AFTER_MILLIS, null));
        }
        String why = claim.outcome().equals(Optional.of(CallOutcome.ANSWERED))
                ? "It was run and answered; the answer was too large to keep."
                : "The node or target that ran it was lost before its outcome was recorded.";
        return Promise.ofException(CallerReporter.outcomeUnknown(call.callKey(), why));
    }

    private void giveBack(RunningCall call, Outcome outcome) {
        call.place().ifPresent(place -> {
            call.returned();
            places.get().ifPresent(source -> source.release(place, outcome, 0, -1));
        });
    }

    private void release(RunningCall call) {
        recordsOf(call).release(call.call().callKey(), call.attemptId(), COMMIT_LIMIT_MILLIS);
    }

    private void forget(String cell) {
        boolean holding = cells.localAdmission(cell).isPresent();
        Optional<CellStateView> state = cells.state(cell);
        if (!holding || state.isEmpty()) {
            return;
        }
        records.get(cell)
                .outlived()
                .ifPresent(offset -> cells.stream(cell)
                        .orElseThrow()
                        .commit(new CellRecord.CallsForgotten(state.get().epoch(), offset), COMMIT_LIMIT_MILLIS));
    }

    private ClaimRecords recordsOf(RunningCall call) {
        return records.get(call.call().cell());
    }

    private RecordStream<CellRecord> streamOf(RunningCall call) {
        return cells.stream(call.call().cell()).orElseThrow();
    }

    private static PoplarWharfException known(Exception e) {
        return e instanceof PoplarWharfException failure ? failure : Reporter.internal("a call", e);
    }
}
