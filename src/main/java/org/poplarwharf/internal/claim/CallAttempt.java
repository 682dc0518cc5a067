package org.poplarwharf.internal.claim;

import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Place;

/**
 * One attempt to run a call, from its arrival until its outcome stands on the stream.
 *
 * <p>Invariant: a phase is never left for an earlier one, and nothing is dispatched after {@code WITHDRAWN}. Belongs to
 * the control thread.
 */
final class CallAttempt {
    /** How far an attempt is. */
    enum Phase {
        WAITING_FOR_PERMIT,
        CLAIMING,
        DISPATCHED,
        ENDED,
        WITHDRAWN
    }

    private final PeerMessage.Call call;
    private final String attemptId;
    private final List<Waiter> joiners = new ArrayList<>();
    private Phase phase = Phase.WAITING_FOR_PERMIT;
    private long deadlineMillis;
    private Optional<Place> permit = Optional.empty();
    private Optional<CallDispatcher.Result.ResponseReceived> answer = Optional.empty();
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

    Optional<Place> permit() {
        return permit;
    }

    void permit(Place granted) {
        permit = Optional.of(granted);
    }

    /** The place was given back. */
    void clearPermit() {
        permit = Optional.empty();
    }

    /** Adds one that waits for the outcome; the attempt's deadline is the latest of all. */
    Waiter join(String requestId, long joinerDeadlineMillis) {
        deadlineMillis = Math.max(deadlineMillis, joinerDeadlineMillis);
        Waiter joiner =
                new Waiter(requestId, !joiners.isEmpty() || phase != Phase.WAITING_FOR_PERMIT, new SettablePromise<>());
        joiners.add(joiner);
        answer.ifPresent(known -> joiner.complete(known));
        failure.ifPresent(joiner.promise()::trySetException);
        return joiner;
    }

    /** Removes one that waits no longer; tells whether none is left. */
    boolean leave(Waiter joiner) {
        joiners.remove(joiner);
        return joiners.isEmpty();
    }

    void complete(CallDispatcher.Result.ResponseReceived whole) {
        phase = Phase.ENDED;
        answer = Optional.of(whole);
        List.copyOf(joiners).forEach(joiner -> joiner.complete(whole));
    }

    void fail(Phase last, PoplarWharfException why) {
        phase = last;
        failure = Optional.of(why);
        List.copyOf(joiners).forEach(joiner -> joiner.promise().trySetException(why));
    }

    /** One request that waits for the outcome. */
    record Waiter(String requestId, boolean replayed, SettablePromise<PeerMessage.CallAnswer> promise) {
        void complete(CallDispatcher.Result.ResponseReceived whole) {
            promise.trySet(
                    new PeerMessage.CallAnswer(requestId, whole.status(), whole.contentType(), whole.body(), replayed));
        }
    }
}
