package org.poplarwharf.internal.entry;

import io.activej.promise.SettablePromise;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.admission.AdmitRequest;
import org.poplarwharf.internal.peer.PeerMessage;

/**
 * One call while it is open: who was asked last, and whether an earlier holder may have run it.
 *
 * <p>Belongs to the control thread.
 */
final class PendingCall {
    /** The holder's deadline passes this much before the entry's, so that its truthful answer arrives in time. */
    private static final long MAX_RESPONSE_MARGIN_MILLIS = 50;

    private static final long RESPONSE_MARGIN_DIVISOR = 10;

    private final CallerRequest request;
    private final long startedMillis;
    private final SettablePromise<PeerMessage.CallAnswer> promise = new SettablePromise<>();
    private Optional<String> peerAddress = Optional.empty();
    private String attemptId = "";
    private boolean asked;
    private boolean handOverLost;

    PendingCall(CallerRequest request, long startedMillis) {
        this.request = request;
        this.startedMillis = startedMillis;
    }

    CallerRequest request() {
        return request;
    }

    long startedMillis() {
        return startedMillis;
    }

    SettablePromise<PeerMessage.CallAnswer> promise() {
        return promise;
    }

    Optional<String> peerAddress() {
        return peerAddress;
    }

    String attemptId() {
        return attemptId;
    }

    void asked(String holderAddress, String id) {
        peerAddress = Optional.of(holderAddress);
        attemptId = id;
        asked = true;
    }

    void markSentLocally() {
        peerAddress = Optional.empty();
        asked = true;
    }

    /** The holder that was asked last has given the call up or refused it. */
    void markRejected() {
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

    PeerMessage.Call toMessage(String cell, String id, String zone, long nowMillis) {
        long leftMillis = Math.max(1, request.deadlineMillis() - nowMillis);
        AdmitRequest admission = new AdmitRequest(
                id,
                request.artifact(),
                request.requestClass().name(),
                request.tenant(),
                zone,
                leftMillis - Math.min(MAX_RESPONSE_MARGIN_MILLIS, leftMillis / RESPONSE_MARGIN_DIVISOR),
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
