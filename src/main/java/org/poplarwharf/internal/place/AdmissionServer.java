package org.poplarwharf.internal.place;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.AdmissionController;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.cell.CellView;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerNetwork;

/**
 * Serves admission requests from other nodes for the cells whose lease this node holds.
 *
 * <p>Invariant: when the connection to a node is lost, its permits are released and its waiting requests cancelled
 * immediately. Confined to the control thread.
 */
public final class AdmissionServer implements PeerNetwork.Listener {
    private final CellView cells;
    private final PeerNetwork peers;
    private final Supplier<List<String>> cellNames;
    private final Map<String, String> nodeIdByPeerAddress = new HashMap<>();

    public AdmissionServer(CellView cells, PeerNetwork peers, Supplier<List<String>> cellNames) {
        this.cells = cells;
        this.peers = peers;
        this.cellNames = cellNames;
        peers.addListener(this);
    }

    @Override
    public void onConnected(String peerAddress, PeerMessage.Hello hello) {
        nodeIdByPeerAddress.put(peerAddress, hello.nodeId());
    }

    @Override
    public void onDisconnected(String peerAddress) {
        String nodeId = nodeIdByPeerAddress.remove(peerAddress);
        if (nodeId == null) {
            return;
        }
        for (String cell : cellNames.get()) {
            cells.localAdmission(cell).ifPresent(controller -> controller.onNodeLost(nodeId));
        }
    }

    @Override
    public void onMessage(String peerAddress, PeerMessage message) {
        switch (message) {
            case PeerMessage.RequestPermit admit -> admit(peerAddress, admit.cell(), admit.request());
            case PeerMessage.CancelPermitRequest withdraw ->
                cells.localAdmission(withdraw.cell()).ifPresent(controller -> controller.cancel(withdraw.requestId()));
            case PeerMessage.ReleasePermit done ->
                cells.localAdmission(done.cell()).ifPresent(controller -> controller.release(done.finished()));
            default -> {
                /* handled by other listeners */
            }
        }
    }

    private void admit(String peerAddress, String cell, AdmissionRequest request) {
        Optional<AdmissionController> controller = cells.localAdmission(cell);
        if (controller.isEmpty()) {
            refuse(peerAddress, request.requestId(), Reporter.leaseLost(cell));
            return;
        }
        String nodeId = nodeIdByPeerAddress.getOrDefault(peerAddress, peerAddress);
        controller.get().admit(nodeId, request).whenComplete((grant, e) -> {
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
