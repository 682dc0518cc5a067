package org.poplarwharf.internal.claim;

import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Permit;

/**
 * An attempt to run a call, from its arrival until its outcome is recorded on the stream.
 *
 * <p>Invariant: an attempt never returns to an earlier phase, and nothing is dispatched after {@code WITHDRAWN}.
 * Confined to the control thread.
 */
final class CallAttempt {
    /** The progress of an attempt. */
    enum Phase {
        WAITING_FOR_PERMIT,
        CLAIMING,
        DISPATCHED,
        ENDED,
        WITHDRAWN
    }

    private final PeerMessage.Call call;
    private final String attemptId;
    private final List<Waiter> waiters = new ArrayList<>();
    private Phase phase = Phase.WAITING_FOR_PERMIT;
    private long deadlineMillis;
    private Optional<Permit> permit = Optional.empty();
    private Optional<CallDispatcher.Result.ResponseReceived> response = Optional.empty();
    private Optional<PoplarWharfException> failure = Optional.empty();

    CallAttempt(PeerMessage.Call call, String attemptId) {
        this.call = call;
        this.attemptId = attemptId;
    }

    PeerMessage.Call call() {
        return call;
    }

    String attemptId() {
        return attemptId;
    }

    Phase phase() {
        return phase;
    }

    void phase(Phase next) {
        phase = next;
    }

    boolean isBeforeDispatch() {
        return phase == Phase.WAITING_FOR_PERMIT || phase == Phase.CLAIMING;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    Optional<Permit> permit() {
        return permit;
    }

    void permit(Permit permit) {
        this.permit = Optional.of(permit);
    }

    /** Forgets the permit after it was released. */
    void clearPermit() {
        permit = Optional.empty();
    }

    /** Adds a request that waits for the outcome. The deadline of the attempt is the latest deadline of its waiters. */
    Waiter join(String requestId, long waiterDeadlineMillis) {
        deadlineMillis = Math.max(deadlineMillis, waiterDeadlineMillis);
        Waiter waiter =
                new Waiter(requestId, !waiters.isEmpty() || phase != Phase.WAITING_FOR_PERMIT, new SettablePromise<>());
        waiters.add(waiter);
        response.ifPresent(received -> waiter.complete(received));
        failure.ifPresent(waiter.promise()::trySetException);
        return waiter;
    }

    /** Removes a request that no longer waits. Returns whether no other request is waiting. */
    boolean leave(Waiter waiter) {
        waiters.remove(waiter);
        return waiters.isEmpty();
    }

    void complete(CallDispatcher.Result.ResponseReceived received) {
        phase = Phase.ENDED;
        response = Optional.of(received);
        List.copyOf(waiters).forEach(waiter -> waiter.complete(received));
    }

    void fail(Phase finalPhase, PoplarWharfException reason) {
        phase = finalPhase;
        failure = Optional.of(reason);
        List.copyOf(waiters).forEach(waiter -> waiter.promise().trySetException(reason));
    }

    /** A request that waits for the outcome. */
    record Waiter(String requestId, boolean replayed, SettablePromise<PeerMessage.CallResponse> promise) {
        void complete(CallDispatcher.Result.ResponseReceived received) {
            promise.trySet(new PeerMessage.CallResponse(
                    requestId, received.status(), received.contentType(), received.body(), replayed));
        }
    }
}
