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
import org.poplarwharf.internal.kernel.CrossLoopCalls;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.kernel.NodeContext;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerNetwork;

/**
 * Sends at-most-once calls to the lease holder of the cell that records their claims, on this node or another one.
 *
 * <p>Invariant: a failure never says "not run" if the connection to a holder was lost after the call was sent to it, or
 * if the cell state on this node has a claim of the call's key. The next holder reads from the cell's stream what became
 * of the key. Confined to the control thread, except for {@link #call}.
 */
final class HolderCallRouter implements CallRouter, PeerNetwork.Listener {
    private static final long RETRY_INTERVAL_MILLIS = 50;
    private static final long MAX_RETRY_PERIOD_MILLIS = 3_000;

    private final Eventloop control;
    private final MonotonicClock clock;
    private final CellView cells;
    private final PeerNetwork peers;
    private final ClaimService service;
    private final String zone;
    private final RequestIdGenerator ids;
    private final Map<String, PendingCall> pendingCalls = new HashMap<>();

    HolderCallRouter(
            Eventloop control,
            MonotonicClock clock,
            CellView cells,
            PeerNetwork peers,
            ClaimService service,
            String zone,
            RequestIdGenerator ids) {
        this.control = control;
        this.clock = clock;
        this.cells = cells;
        this.peers = peers;
        this.service = service;
        this.zone = zone;
        this.ids = ids;
        peers.addListener(this);
    }

    static HolderCallRouter create(NodeContext context, RequestIdGenerator ids) {
        return new HolderCallRouter(
                context.controlLoop(),
                context.clock(),
                context.findService(CellView.class).orElseThrow(),
                context.findService(PeerNetwork.class).orElseThrow(),
                context.findService(ClaimService.class).orElseThrow(),
                context.settings().zone(),
                ids);
    }

    @Override
    public Promise<HttpResponse> call(TrafficThreadContext thread, CallerRequest request) {
        return CrossLoopCalls.call(thread.loop(), control, () -> start(request))
                .map(response -> CallerResponses.callResponse(
                        response.status(),
                        response.contentType(),
                        response.body(),
                        request.requestId(),
                        response.replayed(),
                        thread.isDraining()));
    }

    /** Starts a call. Must be called on the control thread. */
    Promise<PeerMessage.CallResponse> start(CallerRequest request) {
        PendingCall call = new PendingCall(request, clock.nowMillis());
        long remainingMillis = Math.max(1, request.deadlineMillis() - clock.nowMillis());
        control.delayBackground(remainingMillis, () -> onDeadline(call));
        sendToHolder(call);
        return call.promise();
    }

    @Override
    public void onMessage(String peerAddress, PeerMessage message) {
        switch (message) {
            case PeerMessage.CallResponse response -> {
                PendingCall call = pendingCalls.remove(response.requestId());
                if (call != null) {
                    call.promise().trySet(response);
                }
            }
            case PeerMessage.RequestFailed failed -> {
                PendingCall call = pendingCalls.remove(failed.requestId());
                if (call != null) {
                    onFailure(call, Reporter.fromPeer(failed.code(), failed.message(), failed.retryAfterMillis()));
                }
            }
            default -> {
                /* handled by other listeners */
            }
        }
    }

    @Override
    public void onDisconnected(String peerAddress) {
        for (PendingCall call : List.copyOf(pendingCalls.values())) {
            if (call.peerAddress().equals(Optional.of(peerAddress))) {
                pendingCalls.remove(call.attemptId());
                call.markConnectionLost();
                sendToHolder(call);
            }
        }
    }

    private void sendToHolder(PendingCall call) {
        if (call.promise().isComplete()) {
            return;
        }
        Optional<String> cell = cells.cellForCall(call.request().callKey());
        if (cell.isEmpty()) {
            fail(call, CallerReporter.noHolder(call.request().artifact()));
            return;
        }
        String attemptId = ids.next();
        PeerMessage.Call message = call.toMessage(cell.get(), attemptId, zone, clock.nowMillis());
        if (cells.localAdmission(cell.get()).isPresent()) {
            call.markSentLocally();
            service.call(message).whenComplete((response, e) -> onLocalResponse(call, response, e));
            return;
        }
        Optional<CellView.Holder> holder = cells.holder(cell.get()).filter(h -> !h.local());
        if (holder.isPresent() && peers.send(holder.get().peerAddress(), message)) {
            call.markSent(holder.get().peerAddress(), attemptId);
            pendingCalls.put(attemptId, call);
            return;
        }
        retryLater(call, CallerReporter.noHolder(call.request().artifact()));
    }

    private void onLocalResponse(PendingCall call, PeerMessage.CallResponse response, Exception e) {
        if (e != null) {
            onFailure(call, CallerResponses.toFailure(e));
            return;
        }
        call.promise().trySet(response);
    }

    private void onFailure(PendingCall call, PoplarWharfException failure) {
        call.markRejected();
        if (failure.code() == FailureCode.NO_HOLDER) {
            retryLater(call, failure);
            return;
        }
        fail(call, failure);
    }

    private void retryLater(PendingCall call, PoplarWharfException failure) {
        if (clock.nowMillis() - call.startedMillis() > MAX_RETRY_PERIOD_MILLIS) {
            fail(call, failure);
            return;
        }
        control.delayBackground(RETRY_INTERVAL_MILLIS, () -> sendToHolder(call));
    }

    private void onDeadline(PendingCall call) {
        if (call.promise().isComplete()) {
            return;
        }
        pendingCalls.remove(call.attemptId());
        call.promise()
                .trySetException(CallerReporter.deadlineExceeded(call.request().artifact(), mayHaveRun(call)));
    }

    /** Returns whether the call may have run: a holder may have run it, or its key has a claim. */
    private boolean mayHaveRun(PendingCall call) {
        String callKey = call.request().callKey();
        boolean claimed = cells.cellForCall(callKey)
                .flatMap(cells::state)
                .flatMap(state -> state.callClaim(callKey))
                .isPresent();
        return claimed || call.mayHaveRun();
    }

    private void fail(PendingCall call, PoplarWharfException failure) {
        boolean mustHideNotRun = mayHaveRun(call)
                && failure.code().ran() == FailureCode.Ran.NO
                && failure.code() != FailureCode.KEY_REUSED;
        call.promise()
                .trySetException(
                        mustHideNotRun
                                ? CallerReporter.outcomeUnknown(
                                        call.request().callKey(),
                                        "The node that runs it, or ran it before, is unreachable.")
                                : failure);
    }
}
