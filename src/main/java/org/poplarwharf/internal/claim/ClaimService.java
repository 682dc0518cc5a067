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
 * Runs at-most-once calls on the holder of the cell whose stream records their claims.
 *
 * <p>Invariants: a call is dispatched once, only after the fold has accepted the claim of the same attempt, and never
 * after the attempt was withdrawn. A failure states that the call was not run only when the attempt can no longer be
 * dispatched. Confined to the control thread.
 */
public final class ClaimService {
    static final long COMMIT_TIMEOUT_MILLIS = 5_000;

    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    private static final long OUTCOME_RETRY_DELAY_MILLIS = 1_000;
    private static final long RETRY_AFTER_MILLIS = 2_000;
    private static final long CLAIM_EXPIRY_INTERVAL_MILLIS = 5_000;
    private static final int MAX_CALLS_IN_PROGRESS = 10_000;
    private static final int MAX_CLAIMS_PER_CELL = 50_000;
    private static final int MAX_STORED_RESPONSE_BYTES = 4_096;
    private static final long MAX_STORED_RESPONSE_BYTES_PER_CELL = 32 << 20;
    private static final byte[] NO_RESPONSE = {};

    private final Eventloop control;
    private final MonotonicClock clock;
    private final CellView cells;
    private final Supplier<Optional<AdmissionClient>> permitSources;
    private final CallDispatcher dispatcher;
    private final CellRecord.Author self;
    private final long keyValidityMillis;
    private final Map<String, CallAttempt> attempts = new HashMap<>();
    private final Map<String, ClaimTracker> trackers = new HashMap<>();
    private long nextAttemptNumber;
    private boolean stopped;

    public ClaimService(
            Eventloop control,
            MonotonicClock clock,
            CellView cells,
            Supplier<Optional<AdmissionClient>> permitSources,
            CallDispatcher dispatcher,
            CellRecord.Author self,
            long keyValidityMillis) {
        this.keyValidityMillis = keyValidityMillis;
        this.control = control;
        this.clock = clock;
        this.cells = cells;
        this.permitSources = permitSources;
        this.dispatcher = dispatcher;
        this.self = self;
    }

    /** Starts the periodic deletion of expired claims. */
    public void start() {
        if (stopped) {
            return;
        }
        trackers.keySet().forEach(this::deleteExpiredClaims);
        control.delayBackground(CLAIM_EXPIRY_INTERVAL_MILLIS, this::start);
    }

    public void stop() {
        stopped = true;
    }

    /** Returns whether no call is in progress, from its arrival until its outcome is recorded. */
    public boolean isIdle() {
        return attempts.isEmpty();
    }

    /**
     * Runs a call. If the call is already in progress, waits for its outcome; if it has ended, returns the recorded
     * outcome.
     */
    public Promise<PeerMessage.CallResponse> call(PeerMessage.Call call) {
        CallAttempt existing = attempts.get(call.callKey());
        if (existing != null) {
            return join(existing, call);
        }
        Optional<CellStateView> state = cells.state(call.cell());
        Optional<RecordStream<CellRecord>> stream = cells.stream(call.cell());
        boolean holdsLease = cells.localAdmission(call.cell()).isPresent();
        if (!holdsLease || state.isEmpty() || stream.isEmpty() || !stream.get().isCaughtUp()) {
            return Promise.ofException(Reporter.leaseLost(call.cell()));
        }
        ClaimTracker tracker =
                trackers.computeIfAbsent(call.cell(), c -> new ClaimTracker(clock, stream.get(), keyValidityMillis));
        Optional<CellStateView.CallClaim> claim = state.get().callClaim(call.callKey());
        if (claim.isPresent()) {
            return recordedOutcome(call, claim.get(), tracker);
        }
        if (attempts.size() >= MAX_CALLS_IN_PROGRESS || state.get().callClaimCount() >= MAX_CLAIMS_PER_CELL) {
            return Promise.ofException(CallerReporter.overloaded("Too many calls are claimed in " + call.cell() + "."));
        }
        return startAttempt(call);
    }

    private Promise<PeerMessage.CallResponse> startAttempt(PeerMessage.Call call) {
        Optional<AdmissionClient> source = permitSources.get();
        if (source.isEmpty()) {
            return Promise.ofException(Reporter.leaseLost(call.cell()));
        }
        String attemptId = self.nodeId() + "-" + self.incarnation() + "-" + nextAttemptNumber++;
        CallAttempt attempt = new CallAttempt(call, attemptId);
        attempts.put(call.callKey(), attempt);
        Promise<PeerMessage.CallResponse> response = join(attempt, call);
        source.get().acquire(permitRequest(attempt)).whenComplete((permit, e) -> onPermit(attempt, permit, e));
        return response;
    }

    private PermitRequest permitRequest(CallAttempt attempt) {
        AdmissionRequest original = attempt.call().admission();
        AdmissionRequest ofAttempt = new AdmissionRequest(
                attempt.attemptId(),
                original.artifact(),
                original.requestClass(),
                original.tenant(),
                original.zone(),
                original.remainingMillis(),
                original.fingerprint(),
                original.prefixHash(),
                original.excludedTargets());
        return new PermitRequest(ofAttempt, attempt.deadlineMillis(), 0);
    }

    private Promise<PeerMessage.CallResponse> join(CallAttempt existing, PeerMessage.Call call) {
        if (!existing.call().bodyFingerprint().equals(call.bodyFingerprint())) {
            return Promise.ofException(CallerReporter.keyReused(call.callKey()));
        }
        long remainingMillis = Math.max(1, call.admission().remainingMillis());
        CallAttempt.Waiter waiter = existing.join(call.requestId(), clock.nowMillis() + remainingMillis);
        if (!waiter.promise().isComplete()) {
            control.delayBackground(remainingMillis, () -> onDeadline(existing, waiter));
        }
        return waiter.promise();
    }

    private void onDeadline(CallAttempt attempt, CallAttempt.Waiter waiter) {
        if (waiter.promise().isComplete()) {
            return;
        }
        boolean lastWaiter = attempt.leave(waiter);
        boolean abandoned = lastWaiter && attempt.isBeforeDispatch();
        if (abandoned) {
            abandon(attempt);
        }
        waiter.promise()
                .trySetException(CallerReporter.deadlineExceeded(
                        attempt.call().admission().artifact(), !abandoned));
    }

    private void abandon(CallAttempt attempt) {
        withdraw(attempt);
        permitSources.get().ifPresent(source -> source.cancel(attempt.attemptId()));
        attempt.phase(CallAttempt.Phase.WITHDRAWN);
    }

    private void withdraw(CallAttempt attempt) {
        trackerOf(attempt).markWithdrawn(attempt.attemptId());
        attempts.remove(attempt.call().callKey(), attempt);
        releasePermit(attempt, Outcome.NOT_SENT);
    }

    private void onPermit(CallAttempt attempt, Permit permit, Exception e) {
        if (permit != null) {
            attempt.permit(permit);
        }
        if (attempt.phase() != CallAttempt.Phase.WAITING_FOR_PERMIT) {
            releasePermit(attempt, Outcome.NOT_SENT);
            return;
        }
        if (e != null) {
            attempts.remove(attempt.call().callKey(), attempt);
            attempt.fail(CallAttempt.Phase.WITHDRAWN, toFailure(e));
            return;
        }
        attempt.phase(CallAttempt.Phase.CLAIMING);
        PeerMessage.Call message = attempt.call();
        long timeoutMillis = Math.clamp(attempt.deadlineMillis() - clock.nowMillis(), 1, CLAIM_TIMEOUT_MILLIS);
        streamOf(attempt)
                .commit(
                        new CellRecord.CallClaimed(
                                message.callKey(), attempt.attemptId(), self, message.bodyFingerprint()),
                        timeoutMillis)
                .whenComplete((applied, failure) -> onClaimCommitted(attempt, applied, failure));
    }

    private void onClaimCommitted(CallAttempt attempt, RecordStream.ApplyResult applied, Exception e) {
        if (attempt.phase() != CallAttempt.Phase.CLAIMING) {
            if (applied != null && applied.accepted()) {
                releaseClaim(attempt);
            }
            return;
        }
        if (e != null) {
            withdraw(attempt);
            attempt.fail(
                    CallAttempt.Phase.WITHDRAWN,
                    Reporter.logUnavailable(CellRecord.streamName(attempt.call().cell()), RETRY_AFTER_MILLIS, e));
            return;
        }
        if (!applied.accepted()) {
            completeFromWinningClaim(attempt);
            return;
        }
        if (clock.nowMillis() >= attempt.deadlineMillis()) {
            withdraw(attempt);
            releaseClaim(attempt);
            attempt.fail(
                    CallAttempt.Phase.WITHDRAWN,
                    CallerReporter.deadlineExceeded(attempt.call().admission().artifact(), false));
            return;
        }
        attempt.phase(CallAttempt.Phase.DISPATCHED);
        dispatcher
                .dispatch(attempt.permit().orElseThrow(), attempt.call())
                .whenResult(result -> onDispatched(attempt, result));
    }

    /** Completes the attempt with the outcome of the attempt that claimed the key first. */
    private void completeFromWinningClaim(CallAttempt attempt) {
        withdraw(attempt);
        Optional<CellStateView.CallClaim> claim = cells.state(attempt.call().cell())
                .flatMap(state -> state.callClaim(attempt.call().callKey()));
        if (claim.isEmpty()) {
            attempt.fail(
                    CallAttempt.Phase.WITHDRAWN,
                    Reporter.logUnavailable(CellRecord.streamName(attempt.call().cell()), RETRY_AFTER_MILLIS, null));
            return;
        }
        recordedOutcome(attempt.call(), claim.get(), trackerOf(attempt)).whenComplete((response, e) -> {
            if (e != null) {
                attempt.fail(CallAttempt.Phase.WITHDRAWN, toFailure(e));
                return;
            }
            attempt.complete(new CallDispatcher.Result.ResponseReceived(
                    response.status(), response.contentType(), response.body()));
        });
    }

    private void onDispatched(CallAttempt attempt, CallDispatcher.Result result) {
        switch (result) {
            case CallDispatcher.Result.ResponseReceived response -> {
                releasePermit(attempt, Outcome.ANSWERED);
                attempt.complete(response);
                recordOutcome(attempt, outcomeRecord(attempt, response));
            }
            case CallDispatcher.Result.NotSent notSent -> {
                String target =
                        attempt.permit().map(permit -> permit.grant().target()).orElse("");
                releasePermit(attempt, Outcome.CONNECT_FAILED);
                withdraw(attempt);
                releaseClaim(attempt);
                attempt.fail(CallAttempt.Phase.WITHDRAWN, CallerReporter.targetUnreachable(target, notSent.cause()));
            }
            case CallDispatcher.Result.OutcomeUnknown outcomeUnknown ->
                endUnknown(attempt, Outcome.CONNECTION_LOST, "the target returned no complete response.");
            case CallDispatcher.Result.UnprovenRefusal refusal ->
                endUnknown(attempt, Outcome.ANSWERED, "the target refused it with status " + refusal.status() + ".");
        }
    }

    private void endUnknown(CallAttempt attempt, Outcome outcome, String reason) {
        releasePermit(attempt, outcome);
        String callKey = attempt.call().callKey();
        attempt.fail(
                CallAttempt.Phase.ENDED, CallerReporter.outcomeUnknown(callKey, "The call was sent, but " + reason));
        recordOutcome(
                attempt,
                new CellRecord.CallEnded(callKey, attempt.attemptId(), CallOutcome.UNKNOWN, 0, "", NO_RESPONSE, false));
    }

    private CellRecord.CallEnded outcomeRecord(CallAttempt attempt, CallDispatcher.Result.ResponseReceived response) {
        int bytes = response.body().length;
        boolean stored = bytes <= MAX_STORED_RESPONSE_BYTES
                && trackerOf(attempt).storedResponseBytes() + bytes <= MAX_STORED_RESPONSE_BYTES_PER_CELL;
        return new CellRecord.CallEnded(
                attempt.call().callKey(),
                attempt.attemptId(),
                CallOutcome.ANSWERED,
                response.status(),
                response.contentType(),
                stored ? response.body() : NO_RESPONSE,
                stored);
    }

    /**
     * Appends the outcome, and retries until the fold has read it. Until then, responses to repeated calls come from
     * memory.
     */
    private void recordOutcome(CallAttempt attempt, CellRecord.CallEnded record) {
        if (stopped) {
            return;
        }
        streamOf(attempt).commit(record, COMMIT_TIMEOUT_MILLIS).whenComplete((applied, e) -> {
            if (e == null) {
                attempts.remove(attempt.call().callKey(), attempt);
                return;
            }
            control.delayBackground(OUTCOME_RETRY_DELAY_MILLIS, () -> recordOutcome(attempt, record));
        });
    }

    private Promise<PeerMessage.CallResponse> recordedOutcome(
            PeerMessage.Call call, CellStateView.CallClaim claim, ClaimTracker tracker) {
        if (!claim.bodyFingerprint().equals(call.bodyFingerprint())) {
            return Promise.ofException(CallerReporter.keyReused(call.callKey()));
        }
        if (claim.outcome().equals(Optional.of(CallOutcome.ANSWERED)) && claim.answerKept()) {
            return Promise.of(new PeerMessage.CallResponse(
                    call.requestId(), claim.status(), claim.contentType(), claim.answer(), true));
        }
        if (claim.outcome().isEmpty() && claim.author().equals(self) && tracker.isWithdrawn(claim.attemptId())) {
            tracker.release(claim.callKey(), claim.attemptId(), COMMIT_TIMEOUT_MILLIS);
            return Promise.ofException(
                    Reporter.logUnavailable(CellRecord.streamName(call.cell()), RETRY_AFTER_MILLIS, null));
        }
        String detail = claim.outcome().equals(Optional.of(CallOutcome.ANSWERED))
                ? "The call was run and answered, but the response was too large to store."
                : "The node or target that ran the call failed before the outcome was recorded.";
        return Promise.ofException(CallerReporter.outcomeUnknown(call.callKey(), detail));
    }

    private void releasePermit(CallAttempt attempt, Outcome outcome) {
        attempt.permit().ifPresent(permit -> {
            attempt.clearPermit();
            permitSources.get().ifPresent(source -> source.release(permit, outcome, 0, -1));
        });
    }

    private void releaseClaim(CallAttempt attempt) {
        trackerOf(attempt).release(attempt.call().callKey(), attempt.attemptId(), COMMIT_TIMEOUT_MILLIS);
    }

    private void deleteExpiredClaims(String cell) {
        boolean holdsLease = cells.localAdmission(cell).isPresent();
        Optional<CellStateView> state = cells.state(cell);
        if (!holdsLease || state.isEmpty()) {
            return;
        }
        trackers.get(cell)
                .lastExpiredOffset()
                .ifPresent(offset -> cells.stream(cell)
                        .orElseThrow()
                        .commit(new CellRecord.CallsForgotten(state.get().epoch(), offset), COMMIT_TIMEOUT_MILLIS));
    }

    private ClaimTracker trackerOf(CallAttempt attempt) {
        return trackers.get(attempt.call().cell());
    }

    private RecordStream<CellRecord> streamOf(CallAttempt attempt) {
        return cells.stream(attempt.call().cell()).orElseThrow();
    }

    private static PoplarWharfException toFailure(Exception e) {
        return e instanceof PoplarWharfException failure ? failure : Reporter.internal("a call", e);
    }
}
