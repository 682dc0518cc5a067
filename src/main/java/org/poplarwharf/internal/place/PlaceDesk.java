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
import org.poplarwharf.internal.admission.Admission;
import org.poplarwharf.internal.admission.AdmitRequest;
import org.poplarwharf.internal.admission.Finished;
import org.poplarwharf.internal.admission.Grant;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.failure.CallerReporter;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.kernel.MonotonicClock;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.Peers;

/**
 * Asks the holder of a cell for places, here or at another node, and takes known warm replicas when no holder answers.
 *
 * <p>Invariants: a wish ends once; it is asked under a new wire id each time, so that a late answer to an older one
 * can't be taken for the present one, and a grant that nobody waits for is given back. Belongs to the control thread.
 */
public final class PlaceDesk implements PlaceSource, Peers.Listener {
    private static final long RETRY_MILLIS = 25;
    private static final long UNREACHABLE_LIMIT_MILLIS = 500;
    private static final long HOLDER_CHECK_MILLIS = 100;
    private static final int ENDED_KEPT = 10_000;
    private static final Set<FailureCode> OTHER_CELL_MAY_HELP = Set.of(
            FailureCode.NO_CAPACITY,
            FailureCode.LOG_UNAVAILABLE,
            FailureCode.OVERLOADED,
            FailureCode.QUEUE_FULL,
            FailureCode.DEADLINE_UNREACHABLE);

    private final Eventloop control;
    private final MonotonicClock clock;
    private final CellView cells;
    private final Peers peers;
    private final String nodeId;
    private final WarmReplicas warm;
    private final Map<String, PlaceWait> byRequest = new LinkedHashMap<>();
    private final Map<String, PlaceWait> byWire = new LinkedHashMap<>();
    private final Map<String, PlaceWait> ended = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, PlaceWait> eldest) {
            return size() > ENDED_KEPT;
        }
    };

    public PlaceDesk(Eventloop control, MonotonicClock clock, CellView cells, Peers peers, String nodeId, long seed) {
        this.control = control;
        this.clock = clock;
        this.cells = cells;
        this.peers = peers;
        this.nodeId = nodeId;
        this.warm = new WarmReplicas(cells, seed);
        peers.listen(this);
    }

    @Override
    public Promise<Place> ask(PlaceRequest request) {
        AdmitRequest admission = request.admission();
        if (cells.condemned(admission.fingerprint())) {
            return Promise.ofException(Reporter.requestCondemned(admission.fingerprint()));
        }
        List<String> names = cells.cellsFor(admission.artifact(), admission.zone());
        PlaceWait wait = new PlaceWait(request, names);
        byRequest.put(admission.requestId(), wait);
        tryCell(wait);
        return wait.promise();
    }

    @Override
    public void withdraw(String requestId) {
        PlaceWait wait = byRequest.get(requestId);
        if (wait == null) {
            return;
        }
        leaveHolder(wait);
        fail(wait, CallerReporter.deadlineExceeded(wait.artifact(), false));
    }

    @Override
    public void giveBack(Place place, Finished.Outcome outcome, long serviceMillis, long firstByteMillis) {
        if (place.cell().isEmpty()) {
            warm.released(place.grant().target());
            return;
        }
        String cell = place.cell().get();
        Finished finished = new Finished(place.grant().grantId(), outcome, serviceMillis, firstByteMillis);
        if (place.peerAddress().isPresent()) {
            peers.send(place.peerAddress().get(), new PeerMessage.Done(cell, finished));
            return;
        }
        cells.localAdmission(cell).ifPresent(admission -> admission.finished(finished));
    }

    @Override
    public void received(String peerAddress, PeerMessage message) {
        switch (message) {
            case PeerMessage.Granted granted -> granted(peerAddress, granted);
            case PeerMessage.Failed failed -> failed(failed);
            default -> {
                /* for other parts of the node */
            }
        }
    }

    @Override
    public void linkDown(String peerAddress) {
        List.copyOf(byWire.values()).stream()
                .filter(wait -> wait.peerAddress().equals(Optional.of(peerAddress)))
                .forEach(this::askAgain);
    }

    private void tryCell(PlaceWait wait) {
        if (wait.ended()) {
            return;
        }
        if (wait.cell().isEmpty()) {
            takeWarm(wait);
            return;
        }
        String cell = wait.cell().get();
        Optional<Admission> here = cells.localAdmission(cell);
        if (here.isPresent()) {
            askHere(wait, here.get());
            return;
        }
        Optional<CellView.Holder> holder = cells.holder(cell).filter(h -> !h.local());
        if (holder.isPresent() && askPeer(wait, holder.get().peerAddress())) {
            return;
        }
        holderUnreachable(wait);
    }

    private void askHere(PlaceWait wait, Admission admission) {
        String wireId = wait.nextWireId(Optional.empty());
        byWire.put(wireId, wait);
        admission.admit(nodeId, wait.wireRequest(clock.nowMillis())).whenComplete((grant, e) -> {
            if (e != null) {
                refused(wireId, e instanceof PoplarWharfException f ? f : Reporter.internal("admission", e));
                return;
            }
            given(wireId, new Place(wait.cell(), Optional.empty(), grant));
        });
    }

    private boolean askPeer(PlaceWait wait, String peerAddress) {
        String wireId = wait.nextWireId(Optional.of(peerAddress));
        PeerMessage admit = new PeerMessage.Admit(wait.cell().orElseThrow(), wait.wireRequest(clock.nowMillis()));
        if (!peers.send(peerAddress, admit)) {
            return false;
        }
        byWire.put(wireId, wait);
        control.delayBackground(HOLDER_CHECK_MILLIS, () -> checkHolder(wait, wireId));
        return true;
    }

    /** Asks the new holder when the lease has moved while a wish waits at the old one. */
    private void checkHolder(PlaceWait wait, String wireId) {
        if (byWire.get(wireId) != wait) {
            return;
        }
        Optional<String> now = cells.holder(wait.cell().orElseThrow()).map(CellView.Holder::peerAddress);
        if (now.isPresent() && !now.equals(wait.peerAddress())) {
            askAgain(wait);
            return;
        }
        control.delayBackground(HOLDER_CHECK_MILLIS, () -> checkHolder(wait, wireId));
    }

    private void askAgain(PlaceWait wait) {
        leaveHolder(wait);
        tryCell(wait);
    }

    private void leaveHolder(PlaceWait wait) {
        String wireId = wait.wireId();
        if (byWire.remove(wireId) == null) {
            return;
        }
        ended.put(wireId, wait);
        String cell = wait.cell().orElseThrow();
        if (wait.peerAddress().isPresent()) {
            peers.send(wait.peerAddress().get(), new PeerMessage.Withdraw(cell, wireId));
            return;
        }
        cells.localAdmission(cell).ifPresent(admission -> admission.withdraw(wireId));
    }

    private void holderUnreachable(PlaceWait wait) {
        long nowMillis = clock.nowMillis();
        if (wait.unreachableMillis(nowMillis) > UNREACHABLE_LIMIT_MILLIS) {
            wait.nextCell();
            tryCell(wait);
            return;
        }
        control.delayBackground(RETRY_MILLIS, () -> tryCell(wait));
    }

    private void takeWarm(PlaceWait wait) {
        if (wait.lastFailure().isPresent()) {
            fail(wait, wait.lastFailure().get());
            return;
        }
        Promise<Grant> grant = warm.take(wait.request());
        if (grant.isException()) {
            fail(wait, (PoplarWharfException) grant.getException());
            return;
        }
        end(wait);
        wait.promise().set(new Place(Optional.empty(), Optional.empty(), grant.getResult()));
    }

    private void granted(String peerAddress, PeerMessage.Granted granted) {
        PlaceWait wait = byWire.get(granted.requestId());
        PlaceWait late = ended.get(granted.requestId());
        if (wait == null && late == null) {
            return;
        }
        Optional<String> cell = wait == null ? late.cellOf(granted.requestId()) : wait.cell();
        given(granted.requestId(), new Place(cell, Optional.of(peerAddress), granted.grant()));
    }

    private void given(String wireId, Place place) {
        PlaceWait wait = byWire.remove(wireId);
        if (wait == null) {
            giveBack(place, Finished.Outcome.NOT_SENT, 0, -1);
            return;
        }
        end(wait);
        wait.promise().set(place);
    }

    private void failed(PeerMessage.Failed failed) {
        if (byWire.containsKey(failed.requestId())) {
            refused(failed.requestId(), Reporter.fromPeer(failed.code(), failed.message(), failed.retryAfterMillis()));
        }
    }

    private void refused(String wireId, PoplarWharfException failure) {
        PlaceWait wait = byWire.remove(wireId);
        if (wait == null) {
            return;
        }
        if (failure.code() == FailureCode.NO_HOLDER) {
            holderUnreachable(wait);
            return;
        }
        if (!OTHER_CELL_MAY_HELP.contains(failure.code())) {
            fail(wait, failure);
            return;
        }
        wait.refusedBy(failure);
        wait.nextCell();
        tryCell(wait);
    }

    private void fail(PlaceWait wait, PoplarWharfException failure) {
        end(wait);
        wait.promise().setException(failure);
    }

    private void end(PlaceWait wait) {
        wait.end();
        byRequest.remove(wait.requestId());
    }
}
