package org.poplarwharf.internal.entry;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.claim.ClaimService;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.Crossing;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.Peers;

/**
 * Hands calls that may not be repeated to the holder of the cell that keeps their claims, here or at another node.
 *
 * <p>Invariant: once a call was handed to a holder whose link was lost, or its key stands as claimed in the fold that this
 * node follows, "not run" is never said for it any more; the next holder learns from the stream what became of the key. Belongs to the control thread, except for {@link #call}.
 */
final class ClaimCalls implements CallRouter, Peers.Listener {
    private static final long RETRY_MILLIS = 50;
    private static final long UNREACHABLE_LIMIT_MILLIS = 3_000;

    private final Eventloop control;
    private final MonotonicClock clock;
    private final CellView cells;
    private final Peers peers;
    private final ClaimService service;
    private final String zone;
    private final RequestIds ids;
    private final Map<String, CallWait> waiting = new HashMap<>();

    ClaimCalls(
            Eventloop control,
            MonotonicClock clock,
            CellView cells,
            Peers peers,
            ClaimService service,
            String zone,
            RequestIds ids) {
        this.control = control;
        this.clock = clock;
        this.cells = cells;
        this.peers = peers;
        this.service = service;
        this.zone = zone;
        this.ids = ids;
        peers.listen(this);
    }

    static ClaimCalls create(NodeContext context, RequestIds ids) {
        return new ClaimCalls(
                context.control(),
                context.clock(),
                context.find(CellView.class).orElseThrow(),
                context.find(Peers.class).orElseThrow(),
                context.find(ClaimService.class).orElseThrow(),
                context.settings().zone(),
                ids);
    }

    @Override
    public Promise<HttpResponse> call(TrafficThread thread, CallerRequest request) {
        return Crossing.call(thread.loop(), control, () -> start(request))
                .map(answer -> Answers.called(
                        answer.status(),
                        answer.contentType(),
                        answer.body(),
                        request.requestId(),
                        answer.replayed(),
                        thread.draining()));
    }

    /** Starts a call; on the control thread. */
    Promise<PeerMessage.CallAnswer> start(CallerRequest request) {
        CallWait wait = new CallWait(request, clock.nowMillis());
        long leftMillis = Math.max(1, request.deadlineMillis() - clock.nowMillis());
        control.delayBackground(leftMillis, () -> deadlinePassed(wait));
        tryHolder(wait);
        return wait.promise();
    }

    @Override
    public void received(String peerAddress, PeerMessage message) {
        switch (message) {
            case PeerMessage.CallAnswer answer -> {
                CallWait wait = waiting.remove(answer.requestId());
                if (wait != null) {
                    wait.promise().trySet(answer);
                }
            }
            case PeerMessage.Failed failed -> {
                CallWait wait = waiting.remove(failed.requestId());
                if (wait != null) {
                    failed(wait, Reporter.told(failed.code(), failed.message(), failed.retryAfterMillis()));
                }
            }
            default -> {
                /* for other parts of the node */
            }
        }
    }

    @Override
    public void linkDown(String peerAddress) {
        for (CallWait wait : List.copyOf(waiting.values())) {
            if (wait.peerAddress().equals(Optional.of(peerAddress))) {
                waiting.remove(wait.wireId());
                wait.handOverLost();
                tryHolder(wait);
            }
        }
    }

    private void tryHolder(CallWait wait) {
        if (wait.promise().isComplete()) {
            return;
        }
        Optional<String> cell = cells.cellForCall(wait.request().callKey());
        if (cell.isEmpty()) {
            fail(wait, CallerReporter.noHolder(wait.request().artifact()));
            return;
        }
        String wireId = ids.next();
        PeerMessage.Call message = wait.message(cell.get(), wireId, zone, clock.nowMillis());
        if (cells.localAdmission(cell.get()).isPresent()) {
            wait.askedHere();
            service.call(message).whenComplete((answer, e) -> answeredHere(wait, answer, e));
            return;
        }
        Optional<CellView.Holder> holder = cells.holder(cell.get()).filter(h -> !h.local());
        if (holder.isPresent() && peers.send(holder.get().peerAddress(), message)) {
            wait.asked(holder.get().peerAddress(), wireId);
            waiting.put(wireId, wait);
            return;
        }
        tryLater(wait, CallerReporter.noHolder(wait.request().artifact()));
    }

    private void answeredHere(CallWait wait, PeerMessage.CallAnswer answer, Exception e) {
        if (e != null) {
            failed(wait, Answers.failure(e));
            return;
        }
        wait.promise().trySet(answer);
    }

    private void failed(CallWait wait, PoplarWharfException failure) {
        wait.settled();
        if (failure.code() == FailureCode.NO_HOLDER) {
            tryLater(wait, failure);
            return;
        }
        fail(wait, failure);
    }

    private void tryLater(CallWait wait, PoplarWharfException failure) {
        if (clock.nowMillis() - wait.startedMillis() > UNREACHABLE_LIMIT_MILLIS) {
            fail(wait, failure);
            return;
        }
        control.delayBackground(RETRY_MILLIS, () -> tryHolder(wait));
    }

    private void deadlinePassed(CallWait wait) {
        if (wait.promise().isComplete()) {
            return;
        }
        waiting.remove(wait.wireId());
        wait.promise()
                .trySetException(CallerReporter.deadlineExceeded(wait.request().artifact(), mayHaveRun(wait)));
    }

    /** Tells whether "not run" could be untrue: this hand-over was lost, or the key was claimed before. */
    private boolean mayHaveRun(CallWait wait) {
        String callKey = wait.request().callKey();
        boolean claimed = cells.cellForCall(callKey)
                .flatMap(cells::state)
                .flatMap(state -> state.callClaim(callKey))
                .isPresent();
        return claimed || wait.mayHaveRun();
    }

    private void fail(CallWait wait, PoplarWharfException failure) {
        boolean untrue = mayHaveRun(wait)
                && failure.code().ran() == FailureCode.Ran.NO
                && failure.code() != FailureCode.KEY_REUSED;
        wait.promise()
                .trySetException(
                        untrue
                                ? CallerReporter.outcomeUnknown(
                                        wait.request().callKey(),
                                        "The node that runs it, or ran it before, can't be reached now.")
                                : failure);
    }
}
