package org.poplarwharf.internal.claim;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.AdmitRequest;
import org.poplarwharf.internal.admission.Finished.Outcome;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.log.RecordStream;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Place;
import org.poplarwharf.internal.place.PlaceRequest;
import org.poplarwharf.internal.place.PlaceSource;
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
    static final long COMMIT_TIMEOUT_MILLIS = 5_000;

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
    private final Supplier<Optional<PlaceSource>> places;
    private final CallDispatcher dispatcher;
    private final CellRecord.Author self;
    private final long keyValidityMillis;
    private final Map<String, CallAttempt> running = new HashMap<>();
    private final Map<String, ClaimTracker> records = new HashMap<>();
    private long nextAttempt;
    private boolean stopped;

    public ClaimService(
            Eventloop control,
            MonotonicClock clock,
            CellView cells,
            Supplier<Optional<PlaceSource>> places,
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
    public boolean isIdle() {
        return running.isEmpty();
    }

    /** Runs a call, joins it where it is running, or returns what became of it. */
    public Promise<PeerMessage.CallAnswer> call(PeerMessage.Call call) {
        CallAttempt present = running.get(call.callKey());
        if (present != null) {
            return join(present, call);
        }
        Optional<CellStateView> state = cells.state(call.cell());
        Optional<RecordStream<CellRecord>> stream = cells.stream(call.cell());
        boolean holding = cells.localAdmission(call.cell()).isPresent();
        if (!holding || state.isEmpty() || stream.isEmpty() || !stream.get().caughtUp()) {
            return Promise.ofException(Reporter.holderChanged(call.cell()));
        }
        ClaimTracker known =
                records.computeIfAbsent(call.cell(), c -> new ClaimTracker(clock, stream.get(), keyValidityMillis));
        Optional<CellStateView.CallClaim> claim = state.get().callClaim(call.callKey());
        if (claim.isPresent()) {
            return outcome(call, claim.get(), known);
        }
        if (running.size() >= MAX_RUNNING || state.get().callClaimCount() >= MAX_CLAIMS) {
            return Promise.ofException(CallerReporter.overloaded("Too many calls are claimed in " + call.cell() + "."));
        }
        return begin(call);
    }

    private Promise<PeerMessage.CallAnswer> begin(PeerMessage.Call call) {
        Optional<PlaceSource> source = places.get();
        if (source.isEmpty()) {
            return Promise.ofException(Reporter.holderChanged(call.cell()));
        }
        String attemptId = self.nodeId() + "-" + self.incarnation() + "-" + nextAttempt++;
        CallAttempt begun = new CallAttempt(call, attemptId);
        running.put(call.callKey(), begun);
        Promise<PeerMessage.CallAnswer> answer = join(begun, call);
        source.get().ask(placeRequest(begun)).whenComplete((place, e) -> placed(begun, place, e));
        return answer;
    }

    private PlaceRequest placeRequest(CallAttempt begun) {
        AdmitRequest asked = begun.call().admission();
        AdmitRequest own = new AdmitRequest(
                begun.attemptId(),
                asked.artifact(),
                asked.requestClass(),
                asked.tenant(),
                asked.zone(),
                asked.remainingMillis(),
                asked.fingerprint(),
                asked.prefixHash(),
                asked.excludedTargets());
        return new PlaceRequest(own, begun.deadlineMillis(), 0);
    }

    private Promise<PeerMessage.CallAnswer> join(CallAttempt present, PeerMessage.Call call) {
        if (!present.call().bodyFingerprint().equals(call.bodyFingerprint())) {
            return Promise.ofException(CallerReporter.keyReused(call.callKey()));
        }
        long leftMillis = Math.max(1, call.admission().remainingMillis());
        CallAttempt.Waiter joiner = present.join(call.requestId(), clock.nowMillis() + leftMillis);
        if (!joiner.promise().isComplete()) {
            control.delayBackground(leftMillis, () -> deadlinePassed(present, joiner));
        }
        return joiner.promise();
    }

    private void deadlinePassed(CallAttempt call, CallAttempt.Waiter joiner) {
        if (joiner.promise().isComplete()) {
            return;
        }
        boolean last = call.leave(joiner);
        boolean givenUp = last && call.isBeforeDispatch();
        if (givenUp) {
            giveUp(call);
        }
        joiner.promise()
                .trySetException(
                        CallerReporter.deadlineExceeded(call.call().admission().artifact(), !givenUp));
    }

    private void giveUp(CallAttempt call) {
        withdrawn(call);
        places.get().ifPresent(source -> source.withdraw(call.attemptId()));
        call.phase(CallAttempt.Phase.WITHDRAWN);
    }

    private void withdrawn(CallAttempt call) {
        recordsOf(call).markWithdrawn(call.attemptId());
        running.remove(call.call().callKey(), call);
        giveBack(call, Outcome.NOT_SENT);
    }

    private void placed(CallAttempt call, Place place, Exception e) {
        if (place != null) {
            call.permit(place);
        }
        if (call.phase() != CallAttempt.Phase.WAITING_FOR_PERMIT) {
            giveBack(call, Outcome.NOT_SENT);
            return;
        }
        if (e != null) {
            running.remove(call.call().callKey(), call);
            call.fail(CallAttempt.Phase.WITHDRAWN, known(e));
            return;
        }
        call.phase(CallAttempt.Phase.CLAIMING);
        PeerMessage.Call message = call.call();
        long limitMillis = Math.clamp(call.deadlineMillis() - clock.nowMillis(), 1, CLAIM_LIMIT_MILLIS);
        streamOf(call)
                .commit(
                        new CellRecord.CallClaimed(
                                message.callKey(), call.attemptId(), self, message.bodyFingerprint()),
                        limitMillis)
                .whenComplete((applied, failure) -> claimed(call, applied, failure));
    }

    private void claimed(CallAttempt call, RecordStream.Applied applied, Exception e) {
        if (call.phase() != CallAttempt.Phase.CLAIMING) {
            if (applied != null && applied.accepted()) {
                release(call);
            }
            return;
        }
        if (e != null) {
            withdrawn(call);
            call.fail(
                    CallAttempt.Phase.WITHDRAWN,
                    Reporter.logUnavailable(CellRecord.streamName(call.call().cell()), RETRY_AFTER_MILLIS, e));
            return;
        }
        if (!applied.accepted()) {
            claimLost(call);
            return;
        }
        if (clock.nowMillis() >= call.deadlineMillis()) {
            withdrawn(call);
            release(call);
            call.fail(
                    CallAttempt.Phase.WITHDRAWN,
                    CallerReporter.deadlineExceeded(call.call().admission().artifact(), false));
            return;
        }
        call.phase(CallAttempt.Phase.DISPATCHED);
        dispatcher.dispatch(call.permit().orElseThrow(), call.call()).whenResult(result -> ended(call, result));
    }

    /** Another attempt holds the key: its outcome is this one's. */
    private void claimLost(CallAttempt call) {
        withdrawn(call);
        Optional<CellStateView.CallClaim> claim = cells.state(call.call().cell())
                .flatMap(state -> state.callClaim(call.call().callKey()));
        if (claim.isEmpty()) {
            call.fail(
                    CallAttempt.Phase.WITHDRAWN,
                    Reporter.logUnavailable(CellRecord.streamName(call.call().cell()), RETRY_AFTER_MILLIS, null));
            return;
        }
        outcome(call.call(), claim.get(), recordsOf(call)).whenComplete((answer, e) -> {
            if (e != null) {
                call.fail(CallAttempt.Phase.WITHDRAWN, known(e));
                return;
            }
            call.complete(
                    new CallDispatcher.Result.ResponseReceived(answer.status(), answer.contentType(), answer.body()));
        });
    }

    private void ended(CallAttempt call, CallDispatcher.Result result) {
        switch (result) {
            case CallDispatcher.Result.ResponseReceived answered -> {
                giveBack(call, Outcome.ANSWERED);
                call.complete(answered);
                recordEnd(call, endedRecord(call, answered));
            }
            case CallDispatcher.Result.NotSent notSent -> {
                String target =
                        call.permit().map(place -> place.grant().target()).orElse("");
                giveBack(call, Outcome.CONNECT_FAILED);
                withdrawn(call);
                release(call);
                call.fail(CallAttempt.Phase.WITHDRAWN, CallerReporter.targetUnreachable(target, notSent.cause()));
            }
            case CallDispatcher.Result.OutcomeUnknown unknown -> {
                giveBack(call, Outcome.CONNECTION_LOST);
                call.fail(
                        CallAttempt.Phase.ENDED,
                        CallerReporter.outcomeUnknown(
                                call.call().callKey(), "The target gave no whole answer after the call was sent."));
                recordEnd(
                        call,
                        new CellRecord.CallEnded(
                                call.call().callKey(), call.attemptId(), CallOutcome.UNKNOWN, 0, "", NO_ANSWER, false));
            }
        }
    }

    private CellRecord.CallEnded endedRecord(CallAttempt call, CallDispatcher.Result.ResponseReceived answered) {
        int bytes = answered.body().length;
        boolean kept = bytes <= MAX_ANSWER_BYTES && recordsOf(call).storedResponseBytes() + bytes <= MAX_KEPT_BYTES;
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
    private void recordEnd(CallAttempt call, CellRecord.CallEnded record) {
        if (stopped) {
            return;
        }
        streamOf(call).commit(record, COMMIT_TIMEOUT_MILLIS).whenComplete((applied, e) -> {
            if (e == null) {
                running.remove(call.call().callKey(), call);
                return;
            }
            control.delayBackground(END_RETRY_MILLIS, () -> recordEnd(call, record));
        });
    }

    private Promise<PeerMessage.CallAnswer> outcome(
            PeerMessage.Call call, CellStateView.CallClaim claim, ClaimTracker known) {
        if (!claim.bodyFingerprint().equals(call.bodyFingerprint())) {
            return Promise.ofException(CallerReporter.keyReused(call.callKey()));
        }
        if (claim.outcome().equals(Optional.of(CallOutcome.ANSWERED)) && claim.answerKept()) {
            return Promise.of(new PeerMessage.CallAnswer(
                    call.requestId(), claim.status(), claim.contentType(), claim.answer(), true));
        }
        if (claim.outcome().isEmpty() && claim.author().equals(self) && known.withdrawn(claim.attemptId())) {
            known.release(claim.callKey(), claim.attemptId(), COMMIT_TIMEOUT_MILLIS);
            return Promise.ofException(
                    Reporter.logUnavailable(CellRecord.streamName(call.cell()), RETRY_AFTER_MILLIS, null));
        }
        String why = claim.outcome().equals(Optional.of(CallOutcome.ANSWERED))
                ? "It was run and answered; the answer was too large to keep."
                : "The node or target that ran it was lost before its outcome was recorded.";
        return Promise.ofException(CallerReporter.outcomeUnknown(call.callKey(), why));
    }

    private void giveBack(CallAttempt call, Outcome outcome) {
        call.permit().ifPresent(place -> {
            call.clearPermit();
            places.get().ifPresent(source -> source.giveBack(place, outcome, 0, -1));
        });
    }

    private void release(CallAttempt call) {
        recordsOf(call).release(call.call().callKey(), call.attemptId(), COMMIT_TIMEOUT_MILLIS);
    }

    private void forget(String cell) {
        boolean holding = cells.localAdmission(cell).isPresent();
        Optional<CellStateView> state = cells.state(cell);
        if (!holding || state.isEmpty()) {
            return;
        }
        records.get(cell)
                .lastExpiredOffset()
                .ifPresent(offset -> cells.stream(cell)
                        .orElseThrow()
                        .commit(new CellRecord.CallsForgotten(state.get().epoch(), offset), COMMIT_TIMEOUT_MILLIS));
    }

    private ClaimTracker recordsOf(CallAttempt call) {
        return records.get(call.call().cell());
    }

    private RecordStream<CellRecord> streamOf(CallAttempt call) {
        return cells.stream(call.call().cell()).orElseThrow();
    }

    private static PoplarWharfException known(Exception e) {
        return e instanceof PoplarWharfException failure ? failure : Reporter.internal("a call", e);
    }
}
