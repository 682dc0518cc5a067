package org.poplarwharf.internal.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.Admission;
import org.poplarwharf.internal.admission.AdmitRequest;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.Peers;

/**
 * Answers other nodes' wishes for places in the cells that this node holds.
 *
 * <p>Invariant: a node whose link is lost loses its places and its waiting requests at once. Belongs to the control
 * thread.
 */
public final class PlaceServer implements Peers.Listener {
    private final CellView cells;
    private final Peers peers;
    private final Supplier<List<String>> cellNames;
    private final Map<String, String> nodeIds = new HashMap<>();

    public PlaceServer(CellView cells, Peers peers, Supplier<List<String>> cellNames) {
        this.cells = cells;
        this.peers = peers;
        this.cellNames = cellNames;
        peers.listen(this);
    }

    @Override
    public void linkUp(String peerAddress, PeerMessage.Hello hello) {
        nodeIds.put(peerAddress, hello.nodeId());
    }

    @Override
    public void linkDown(String peerAddress) {
        String nodeId = nodeIds.remove(peerAddress);
        if (nodeId == null) {
            return;
        }
        for (String cell : cellNames.get()) {
            cells.localAdmission(cell).ifPresent(admission -> admission.nodeLost(nodeId));
        }
    }

    @Override
    public void received(String peerAddress, PeerMessage message) {
        switch (message) {
            case PeerMessage.Admit admit -> admit(peerAddress, admit.cell(), admit.request());
            case PeerMessage.Withdraw withdraw ->
                cells.localAdmission(withdraw.cell()).ifPresent(a -> a.withdraw(withdraw.requestId()));
            case PeerMessage.Done done -> cells.localAdmission(done.cell()).ifPresent(a -> a.finished(done.finished()));
            default -> {
                /* for other parts of the node */
            }
        }
    }

    private void admit(String peerAddress, String cell, AdmitRequest request) {
        Optional<Admission> admission = cells.localAdmission(cell);
        if (admission.isEmpty()) {
            refuse(peerAddress, request.requestId(), Reporter.leaseLost(cell));
            return;
        }
        String nodeId = nodeIds.getOrDefault(peerAddress, peerAddress);
        admission.get().admit(nodeId, request).whenComplete((grant, e) -> {
            if (e != null) {
                refuse(peerAddress, request.requestId(), e);
                return;
            }
            peers.send(peerAddress, new PeerMessage.Granted(request.requestId(), grant));
        });
    }

    private void refuse(String peerAddress, String requestId, Exception e) {
        PoplarWharfException failure = e instanceof PoplarWharfException f ? f : Reporter.internal("admission", e);
        peers.send(
                peerAddress,
                new PeerMessage.Failed(
                        requestId,
                        failure.code().text(),
                        failure.getMessage(),
                        failure.retryAfterMillis().orElse(-1)));
    }
}
