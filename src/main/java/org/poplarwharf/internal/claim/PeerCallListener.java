package org.poplarwharf.internal.claim;

import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.PeerNetwork;

/** Runs the calls that other nodes forward and replies with their responses. Confined to the control thread. */
final class PeerCallListener implements PeerNetwork.Listener {
    private final ClaimService service;
    private final PeerNetwork peers;

    PeerCallListener(ClaimService service, PeerNetwork peers) {
        this.service = service;
        this.peers = peers;
        peers.addListener(this);
    }

    @Override
    public void onMessage(String peerAddress, PeerMessage message) {
        if (message instanceof PeerMessage.Call call) {
            service.call(call).whenComplete((response, e) -> peers.send(peerAddress, reply(call, response, e)));
        }
    }

    private static PeerMessage reply(PeerMessage.Call call, PeerMessage.CallResponse response, Exception e) {
        if (e == null) {
            return response;
        }
        PoplarWharfException failure = e instanceof PoplarWharfException f ? f : Reporter.internal("a call", e);
        return new PeerMessage.RequestFailed(
                call.requestId(),
                failure.code().text(),
                failure.getMessage(),
                failure.retryAfterMillis().orElse(-1));
    }
}
