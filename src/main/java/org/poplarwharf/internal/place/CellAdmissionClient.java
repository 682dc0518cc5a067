package org.poplarwharf.internal.place;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.poplarwharf.FailureCode;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.admission.GrantCompletion;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerNetwork;

/**
 * Requests permits from the lease holder of a cell, on this node or another one. Falls back to known warm replicas
 * if no holder responds.
 *
 * <p>Invariants: a permit request ends exactly once; each attempt has its own id, so that a late response to an
 * earlier attempt is not mistaken for the current one, and a grant that no request waits for is released. Confined
 * to the control thread.
 */
public final class CellAdmissionClient implements AdmissionClient, PeerNetwork.Listener {
    private static final long HOLDER_RETRY_MILLIS = 25;
    private static final long HOLDER_UNREACHABLE_LIMIT_MILLIS = 500;
    private static final long HOLDER_CHECK_INTERVAL_MILLIS = 100;
    private static final int MAX_ENDED_ATTEMPT_COUNT = 10_000;
    private static final Set<FailureCode> RETRYABLE_IN_OTHER_CELL = Set.of(
            FailureCode.NO_CAPACITY,
            FailureCode.LOG_UNAVAILABLE,
            FailureCode.OVERLOADED,
            FailureCode.QUEUE_FULL,
            FailureCode.DEADLINE_UNREACHABLE);

    private final Eventloop control;
    private final MonotonicClock clock;
    private final CellView cells;
    private final PeerNetwork peers;
    private final String nodeId;
    private final WarmReplicaFallback warmReplicas;
    private final Map<String, PendingPermit> pendingByRequestId = new LinkedHashMap<>();
    private final Map<String, PendingPermit> pendingByAttemptId = new LinkedHashMap<>();
    private final Map<String, PendingPermit> endedByAttemptId = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PendingPermit> eldest) {
            return size() > MAX_ENDED_ATTEMPT_COUNT;
        }
    };

    public CellAdmissionClient(
            Eventloop control, MonotonicClock clock, CellView cells, PeerNetwork peers, String nodeId, long seed) {
        this.control = control;
        this.clock = clock;
        this.cells = cells;
        this.peers = peers;
        this.nodeId = nodeId;
        this.warmReplicas = new WarmReplicaFallback(cells, clock, seed);
        peers.addListener(this);
    }

    @Override
    public Promise<Permit> acquire(PermitRequest request) {
        AdmissionRequest admissionRequest = request.admissionRequest();
        if (cells.isCondemned(admissionRequest.fingerprint())) {
            return Promise.ofException(Reporter.requestCondemned(admissionRequest.fingerprint()));
        }
        List<String> cellNames = cells.cellsFor(admissionRequest.artifact(), admissionRequest.zone());
        PendingPermit pending = new PendingPermit(request, cellNames);
        pendingByRequestId.put(admissionRequest.requestId(), pending);
        tryCurrentCell(pending);
        return pending.promise();
    }

    @Override
    public void cancel(String requestId) {
        PendingPermit pending = pendingByRequestId.get(requestId);
        if (pending == null) {
            return;
        }
        cancelAttempt(pending);
        fail(pending, CallerReporter.deadlineExceeded(pending.artifact(), false));
    }

    @Override
    public void release(Permit permit, GrantCompletion.Outcome outcome, long serviceMillis, long firstByteMillis) {
        if (permit.cell().isEmpty()) {
            warmReplicas.release(permit.grant(), outcome);
            return;
        }
        String cell = permit.cell().get();
        GrantCompletion completion =
                new GrantCompletion(permit.grant().grantId(), outcome, serviceMillis, firstByteMillis);
        if (permit.peerAddress().isPresent()) {
            peers.send(permit.peerAddress().get(), new PeerMessage.ReleasePermit(cell, completion));
            return;
        }
        cells.localAdmission(cell).ifPresent(controller -> controller.release(completion));
    }

    @Override
    public void onMessage(String peerAddress, PeerMessage message) {
        switch (message) {
            case PeerMessage.PermitGranted granted -> handleGranted(peerAddress, granted);
            case PeerMessage.RequestFailed failed -> handleFailed(failed);
            default -> {
                /* handled by other listeners */
            }
        }
    }

    @Override
    public void onDisconnected(String peerAddress) {
        List.copyOf(pendingByAttemptId.values()).stream()
                .filter(pending -> pending.peerAddress().equals(Optional.of(peerAddress)))
                .forEach(this::retry);
    }

    private void tryCurrentCell(PendingPermit pending) {
        if (pending.isEnded()) {
            return;
        }
        if (pending.cell().isEmpty()) {
            acquireWarmReplica(pending);
            return;
        }
        String cell = pending.cell().get();
        Optional<AdmissionController> localController = cells.localAdmission(cell);
        if (localController.isPresent()) {
            requestLocally(pending, localController.get());
            return;
        }
        Optional<CellView.Holder> holder = cells.holder(cell).filter(h -> !h.local());
        if (holder.isPresent() && requestFromPeer(pending, holder.get().peerAddress())) {
            return;
        }
        handleUnreachableHolder(pending);
    }

    private void requestLocally(PendingPermit pending, AdmissionController controller) {
        String attemptId = pending.startAttempt(Optional.empty());
        pendingByAttemptId.put(attemptId, pending);
        controller.admit(nodeId, pending.requestForAttempt(clock.nowMillis())).whenComplete((grant, e) -> {
            if (e != null) {
                handleRefusal(attemptId, e instanceof PoplarWharfException f ? f : Reporter.internal("admission", e));
                return;
            }
            complete(attemptId, new Permit(pending.cell(), Optional.empty(), grant));
        });
    }

    private boolean requestFromPeer(PendingPermit pending, String peerAddress) {
        String attemptId = pending.startAttempt(Optional.of(peerAddress));
        PeerMessage admit = new PeerMessage.RequestPermit(
                pending.cell().orElseThrow(), pending.requestForAttempt(clock.nowMillis()));
        if (!peers.send(peerAddress, admit)) {
            return false;
        }
        pendingByAttemptId.put(attemptId, pending);
        control.delayBackground(HOLDER_CHECK_INTERVAL_MILLIS, () -> checkHolder(pending, attemptId));
        return true;
    }

    /** Retries at the new lease holder if the lease has moved while the request waits at the old one. */
    private void checkHolder(PendingPermit pending, String attemptId) {
        if (pendingByAttemptId.get(attemptId) != pending) {
            return;
        }
        Optional<String> currentPeerAddress =
                cells.holder(pending.cell().orElseThrow()).map(CellView.Holder::peerAddress);
        if (currentPeerAddress.isPresent() && !currentPeerAddress.equals(pending.peerAddress())) {
            retry(pending);
            return;
        }
        control.delayBackground(HOLDER_CHECK_INTERVAL_MILLIS, () -> checkHolder(pending, attemptId));
    }

    private void retry(PendingPermit pending) {
        cancelAttempt(pending);
        tryCurrentCell(pending);
    }

    private void cancelAttempt(PendingPermit pending) {
        String attemptId = pending.attemptId();
        if (pendingByAttemptId.remove(attemptId) == null) {
            return;
        }
        endedByAttemptId.put(attemptId, pending);
        String cell = pending.cell().orElseThrow();
        if (pending.peerAddress().isPresent()) {
            peers.send(pending.peerAddress().get(), new PeerMessage.CancelPermitRequest(cell, attemptId));
            return;
        }
        cells.localAdmission(cell).ifPresent(controller -> controller.cancel(attemptId));
    }

    private void handleUnreachableHolder(PendingPermit pending) {
        long nowMillis = clock.nowMillis();
        if (pending.unreachableMillis(nowMillis) > HOLDER_UNREACHABLE_LIMIT_MILLIS) {
            pending.advanceToNextCell();
            tryCurrentCell(pending);
            return;
        }
        control.delayBackground(HOLDER_RETRY_MILLIS, () -> tryCurrentCell(pending));
    }

    private void acquireWarmReplica(PendingPermit pending) {
        if (pending.lastFailure().isPresent()) {
            fail(pending, pending.lastFailure().get());
            return;
        }
        Promise<Grant> grant = warmReplicas.acquire(pending.request());
        if (grant.isException()) {
            fail(pending, (PoplarWharfException) grant.getException());
            return;
        }
        end(pending);
        pending.promise().set(new Permit(Optional.empty(), Optional.empty(), grant.getResult()));
    }

    private void handleGranted(String peerAddress, PeerMessage.PermitGranted granted) {
        PendingPermit pending = pendingByAttemptId.get(granted.requestId());
        PendingPermit endedRequest = endedByAttemptId.get(granted.requestId());
        if (pending == null && endedRequest == null) {
            return;
        }
        Optional<String> cell = pending == null ? endedRequest.findCell(granted.requestId()) : pending.cell();
        complete(granted.requestId(), new Permit(cell, Optional.of(peerAddress), granted.grant()));
    }

    private void complete(String attemptId, Permit permit) {
        PendingPermit pending = pendingByAttemptId.remove(attemptId);
        if (pending == null) {
            release(permit, GrantCompletion.Outcome.NOT_SENT, 0, -1);
            return;
        }
        end(pending);
        pending.promise().set(permit);
    }

    private void handleFailed(PeerMessage.RequestFailed failed) {
        if (pendingByAttemptId.containsKey(failed.requestId())) {
            handleRefusal(
                    failed.requestId(), Reporter.fromPeer(failed.code(), failed.message(), failed.retryAfterMillis()));
        }
    }

    private void handleRefusal(String attemptId, PoplarWharfException failure) {
        PendingPermit pending = pendingByAttemptId.remove(attemptId);
        if (pending == null) {
            return;
        }
        if (failure.code() == FailureCode.NO_HOLDER) {
            handleUnreachableHolder(pending);
            return;
        }
        if (!RETRYABLE_IN_OTHER_CELL.contains(failure.code())) {
            fail(pending, failure);
            return;
        }
        pending.recordRefusal(failure);
        pending.advanceToNextCell();
        tryCurrentCell(pending);
    }

    private void fail(PendingPermit pending, PoplarWharfException failure) {
        end(pending);
        pending.promise().setException(failure);
    }

    private void end(PendingPermit pending) {
        pending.markEnded();
        pendingByRequestId.remove(pending.requestId());
    }
}
