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
import org.poplarwharf.internal.peer.PeerNetwork;

/**
 * Answers other nodes' wishes for places in the cells that this node holds.
 *
 * <p>Invariant: a node whose link is lost loses its places and its waiting requests at once. Belongs to the control
 * thread.
 */
public final class PlaceServer implements PeerNetwork.Listener {
    private final CellView cells;
    private final PeerNetwork peers;
    private final Supplier<List<String>> cellNames;
    private final Map<String, String> nodeIds = new HashMap<>();

    public PlaceServer(CellView cells, PeerNetwork peers, Supplier<List<String>> cellNames) {
        this.cells = cells;
        this.peers = peers;
        this.cellNames = cellNames;
        peers.addListener(this);
    }

    @Override
    public void onConnected(String peerAddress, PeerMessage.Hello hello) {
        nodeIds.put(peerAddress, hello.nodeId());
    }

    @Override
    public void onDisconnected(String peerAddress) {
        String nodeId = nodeIds.remove(peerAddress);
        if (nodeId == null) {
            return;
        }
        for (String cell : cellNames.get()) {
            cells.admissionHere(cell).ifPresent(admission -> admission.nodeLost(nodeId));
        }
    }

    @Override
    public void onMessage(String peerAddress, PeerMessage message) {
        switch (message) {
            case PeerMessage.RequestPermit admit -> admit(peerAddress, admit.cell(), admit.request());
            case PeerMessage.CancelPermitRequest withdraw ->
                cells.admissionHere(withdraw.cell()).ifPresent(a -> a.withdraw(withdraw.requestId()));
            case PeerMessage.ReleasePermit done ->
                cells.admissionHere(done.cell()).ifPresent(a -> a.finished(done.finished()));
            default -> {
                /* for other parts of the node */
            }
        }
    }

    private void admit(String peerAddress, String cell, AdmitRequest request) {
        Optional<Admission> admission = cells.admissionHere(cell);
        if (admission.isEmpty()) {
            refuse(peerAddress, request.requestId(), Reporter.holderChanged(cell));
            return;
        }
        String nodeId = nodeIds.getOrDefault(peerAddress, peerAddress);
        admission.get().admit(nodeId, request).whenComplete((grant, e) -> {
            if (e != null) {
                refuse(peerAddress, request.requestId(), e);
                return;
            }
            peers.send(peerAddress, new PeerMessage.PermitGranted(request.requestId(), grant));
        });
    }

    private void refuse(String peerAddress, String requestId, Exception e) {
        PoplarWharfException failure = e instanceof PoplarWharfException f ? f : Reporter.internal("admission", e);
        peers.send(
                peerAddress,
                new PeerMessage.RequestFailed(
                        requestId,
                        failure.code().text(),
                        failure.getMessage(),
                        failure.retryAfterMillis().orElse(-1)));
    }
}
