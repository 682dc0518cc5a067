package org.poplarwharf.internal.claim;

import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerNetwork;

/**
 * Answers calls that other nodes hand over. Belongs to the control thread.
 */
final class ClaimServer implements PeerNetwork.Listener {
    private final ClaimService service;
    private final PeerNetwork peers;

    ClaimServer(ClaimService service, PeerNetwork peers) {
        this.service = service;
        this.peers = peers;
        peers.addListener(this);
    }

    @Override
    public void onMessage(String peerAddress, PeerMessage message) {
        if (message instanceof PeerMessage.Call call) {
            service.call(call).whenComplete((answer, e) -> peers.send(peerAddress, reply(call, answer, e)));
        }
    }

    private static PeerMessage reply(PeerMessage.Call call, PeerMessage.CallResponse answer, Exception e) {
        if (e == null) {
            return answer;
        }
        PoplarWharfException failure = e instanceof PoplarWharfException f ? f : Reporter.internal("a call", e);
        return new PeerMessage.RequestFailed(
                call.requestId(),
                failure.code().text(),
                failure.getMessage(),
                failure.retryAfterMillis().orElse(-1));
    }
}
