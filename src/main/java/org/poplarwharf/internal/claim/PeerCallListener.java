package org.poplarwharf.internal.claim;

import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.failure.Reporter;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.peer.Peers;

/** Runs the calls that other nodes forward and replies with their responses. Confined to the control thread. */
final class PeerCallListener implements Peers.Listener {
    private final ClaimService service;
    private final Peers peers;

    PeerCallListener(ClaimService service, Peers peers) {
        this.service = service;
        this.peers = peers;
        peers.listen(this);
    }

    @Override
    public void received(String peerAddress, PeerMessage message) {
        if (message instanceof PeerMessage.Call call) {
            service.call(call).whenComplete((response, e) -> peers.send(peerAddress, reply(call, response, e)));
        }
    }

    private static PeerMessage reply(PeerMessage.Call call, PeerMessage.CallAnswer response, Exception e) {
        if (e == null) {
            return response;
        }
        PoplarWharfException failure = e instanceof PoplarWharfException f ? f : Reporter.internal("a call", e);
        return new PeerMessage.Failed(
                call.requestId(),
                failure.code().text(),
                failure.getMessage(),
                failure.retryAfterMillis().orElse(-1));
    }
}
