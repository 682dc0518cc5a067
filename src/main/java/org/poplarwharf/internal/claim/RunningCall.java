package org.poplarwharf.internal.claim;

import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Permit;

/**
 * One attempt to run a call, from its arrival until its outcome stands on the stream.
 *
 * <p>Invariant: a phase is never left for an earlier one, and nothing is dispatched after {@code WITHDRAWN}. Belongs to
 * the control thread.
 */
final class RunningCall {
    /** How far an attempt is. */
    enum Phase {
        WAITING,
        CLAIMING,
        DISPATCHED,
        ENDED,
        WITHDRAWN
    }

    private final PeerMessage.Call call;
    private final String attemptId;
    private final List<Joiner> joiners = new ArrayList<>();
    private Phase phase = Phase.WAITING;
    private long deadlineMillis;
    private Optional<Permit> place = Optional.empty();
    private Optional<CallDispatcher.Result.Answered> answer = Optional.empty();
    private Optional<PoplarWharfException> failure = Optional.empty();

    RunningCall(PeerMessage.Call call, String attemptId) {
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

    boolean beforeDispatch() {
        return phase == Phase.WAITING || phase == Phase.CLAIMING;
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    Optional<Permit> place() {
        return place;
    }

    void place(Permit granted) {
        place = Optional.of(granted);
    }

    /** The place was given back. */
    void returned() {
        place = Optional.empty();
    }

    /** Adds one that waits for the outcome; the attempt's deadline is the latest of all. */
    Joiner join(String requestId, long joinerDeadlineMillis) {
        deadlineMillis = Math.max(deadlineMillis, joinerDeadlineMillis);
        Joiner joiner = new Joiner(requestId, !joiners.isEmpty() || phase != Phase.WAITING, new SettablePromise<>());
        joiners.add(joiner);
        answer.ifPresent(known -> joiner.answer(known));
        failure.ifPresent(joiner.promise()::trySetException);
        return joiner;
    }

    /** Removes one that waits no longer; tells whether none is left. */
    boolean leave(Joiner joiner) {
        joiners.remove(joiner);
        return joiners.isEmpty();
    }

    void answered(CallDispatcher.Result.Answered whole) {
        phase = Phase.ENDED;
        answer = Optional.of(whole);
        List.copyOf(joiners).forEach(joiner -> joiner.answer(whole));
    }

    void failed(Phase last, PoplarWharfException why) {
        phase = last;
        failure = Optional.of(why);
        List.copyOf(joiners).forEach(joiner -> joiner.promise().trySetException(why));
    }

    /** One request that waits for the outcome. */
    record Joiner(String requestId, boolean replayed, SettablePromise<PeerMessage.CallResponse> promise) {
        void answer(CallDispatcher.Result.Answered whole) {
            promise.trySet(new PeerMessage.CallResponse(
                    requestId, whole.status(), whole.contentType(), whole.body(), replayed));
        }
    }
}
