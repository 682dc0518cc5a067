package org.poplarwharf.internal.entry;

import io.activej.promise.SettablePromise;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.peer.PeerMessage;

/**
 * One call while it is open: who was asked last, and whether an earlier holder may have run it.
 *
 * <p>Belongs to the control thread.
 */
final class CallWait {
    /** The holder's deadline passes this much before the entry's, so that its truthful answer arrives in time. */
    private static final long MAX_MARGIN_MILLIS = 50;

    private static final long MARGIN_PARTS = 10;

    private final CallerRequest request;
    private final long startedMillis;
    private final SettablePromise<PeerMessage.CallResponse> promise = new SettablePromise<>();
    private Optional<String> peerAddress = Optional.empty();
    private String wireId = "";
    private boolean asked;
    private boolean handOverLost;

    CallWait(CallerRequest request, long startedMillis) {
        this.request = request;
        this.startedMillis = startedMillis;
    }

    CallerRequest request() {
        return request;
    }

    long startedMillis() {
        return startedMillis;
    }

    SettablePromise<PeerMessage.CallResponse> promise() {
        return promise;
    }

    Optional<String> peerAddress() {
        return peerAddress;
    }

    String wireId() {
        return wireId;
    }

    void asked(String holderAddress, String id) {
        peerAddress = Optional.of(holderAddress);
        wireId = id;
        asked = true;
    }

    void askedHere() {
        peerAddress = Optional.empty();
        asked = true;
    }

    /** The holder that was asked last has given the call up or refused it. */
    void settled() {
        asked = false;
    }

    void handOverLost() {
        asked = false;
        handOverLost = true;
    }

    /** Tells whether some holder may have run the call, or may still. */
    boolean mayHaveRun() {
        return asked || handOverLost;
    }

    PeerMessage.Call message(String cell, String id, String zone, long nowMillis) {
        long leftMillis = Math.max(1, request.deadlineMillis() - nowMillis);
        AdmissionRequest admission = new AdmissionRequest(
                id,
                request.artifact(),
                request.requestClass().name(),
                request.tenant(),
                zone,
                leftMillis - Math.min(MAX_MARGIN_MILLIS, leftMillis / MARGIN_PARTS),
                request.fingerprint(),
                request.prefixHash(),
                List.of());
        return new PeerMessage.Call(
                cell,
                id,
                request.callKey(),
                request.fingerprint(),
                admission,
                request.method(),
                request.path(),
                request.contentType(),
                request.body());
    }
}
