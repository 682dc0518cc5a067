package org.poplarwharf.internal.entry;

import io.activej.promise.SettablePromise;
import java.util.List;
import java.util.Optional;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.internal.peer.PeerMessage;

/**
 * An at-most-once call without a response so far. Records the lease holder that it was last sent to, and whether an
 * earlier holder may have run it.
 *
 * <p>Confined to the control thread.
 */
final class PendingCall {
    /** The holder's deadline is earlier by up to this time, so that its own response arrives before the caller's deadline. */
    private static final long MAX_RESPONSE_MARGIN_MILLIS = 50;

    private static final long RESPONSE_MARGIN_DIVISOR = 10;

    private final CallerRequest request;
    private final long startedMillis;
    private final SettablePromise<PeerMessage.CallResponse> promise = new SettablePromise<>();
    private Optional<String> peerAddress = Optional.empty();
    private String attemptId = "";
    private boolean awaitingHolder;
    private boolean mayHaveRunAtLostHolder;

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

    SettablePromise<PeerMessage.CallResponse> promise() {
        return promise;
    }

    Optional<String> peerAddress() {
        return peerAddress;
    }

    String attemptId() {
        return attemptId;
    }

    /** Records that the call was sent to the holder at another node. */
    void markSent(String holderAddress, String id) {
        peerAddress = Optional.of(holderAddress);
        attemptId = id;
        awaitingHolder = true;
    }

    /** Records that the call was passed to the holder on this node. */
    void markSentLocally() {
        peerAddress = Optional.empty();
        awaitingHolder = true;
    }

    /** Records that the last holder rejected the call or gave it up without running it. */
    void markRejected() {
        awaitingHolder = false;
    }

    /** Records that the connection to the last holder was lost, so that it is not known whether it ran the call. */
    void markConnectionLost() {
        awaitingHolder = false;
        mayHaveRunAtLostHolder = true;
    }

    /** Returns whether a holder may have run the call, or may still run it. */
    boolean mayHaveRun() {
        return awaitingHolder || mayHaveRunAtLostHolder;
    }

    /** Returns the message that sends the call to a holder. */
    PeerMessage.Call toMessage(String cell, String id, String zone, long nowMillis) {
        long remainingMillis = Math.max(1, request.deadlineMillis() - nowMillis);
        AdmissionRequest admission = new AdmissionRequest(
                id,
                request.artifact(),
                request.requestClass().name(),
                request.tenant(),
                zone,
                remainingMillis - Math.min(MAX_RESPONSE_MARGIN_MILLIS, remainingMillis / RESPONSE_MARGIN_DIVISOR),
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
