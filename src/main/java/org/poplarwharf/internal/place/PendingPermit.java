package org.poplarwharf.internal.place;

import io.activej.promise.SettablePromise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.AdmissionRequest;
import org.poplarwharf.plugins.ArtifactId;

/**
 * The state of an open permit request: the cell and node it was sent to, and the id of the current attempt.
 *
 * <p>Confined to the control thread.
 */
final class PendingPermit {
    private static final long REACHABLE = -1;

    private final PermitRequest request;
    private final List<String> cells;
    private final SettablePromise<Permit> promise = new SettablePromise<>();
    private final Map<String, String> cellByAttemptId = new HashMap<>();
    private int cellIndex;
    private int attemptNumber;
    private long unreachableSinceMillis = REACHABLE;
    private boolean ended;
    private Optional<String> peerAddress = Optional.empty();
    private Optional<PoplarWharfException> lastFailure = Optional.empty();

    PendingPermit(PermitRequest request, List<String> cells) {
        this.request = request;
        this.cells = List.copyOf(cells);
    }

    PermitRequest request() {
        return request;
    }

    String requestId() {
        return request.admissionRequest().requestId();
    }

    ArtifactId artifact() {
        return request.admissionRequest().artifact();
    }

    SettablePromise<Permit> promise() {
        return promise;
    }

    boolean isEnded() {
        return ended;
    }

    void markEnded() {
        ended = true;
    }

    Optional<String> cell() {
        return cellIndex < cells.size() ? Optional.of(cells.get(cellIndex)) : Optional.empty();
    }

    void advanceToNextCell() {
        cellIndex++;
        unreachableSinceMillis = REACHABLE;
    }

    Optional<String> findCell(String attemptId) {
        return Optional.ofNullable(cellByAttemptId.get(attemptId));
    }

    Optional<String> peerAddress() {
        return peerAddress;
    }

    String attemptId() {
        return requestId() + "." + attemptNumber;
    }

    String startAttempt(Optional<String> newPeerAddress) {
        attemptNumber++;
        peerAddress = newPeerAddress;
        cell().ifPresent(cell -> cellByAttemptId.put(attemptId(), cell));
        return attemptId();
    }

    /** Returns the admission request of the current attempt, with the time left until the deadline. */
    AdmissionRequest requestForAttempt(long nowMillis) {
        AdmissionRequest admissionRequest = request.admissionRequest();
        return new AdmissionRequest(
                attemptId(),
                admissionRequest.artifact(),
                admissionRequest.requestClass(),
                admissionRequest.tenant(),
                admissionRequest.zone(),
                Math.max(0, request.deadlineMillis() - nowMillis),
                admissionRequest.fingerprint(),
                admissionRequest.prefixHash(),
                admissionRequest.excludedTargets());
    }

    long unreachableMillis(long nowMillis) {
        if (unreachableSinceMillis == REACHABLE) {
            unreachableSinceMillis = nowMillis;
        }
        return nowMillis - unreachableSinceMillis;
    }

    Optional<PoplarWharfException> lastFailure() {
        return lastFailure;
    }

    void recordRefusal(PoplarWharfException failure) {
        lastFailure = Optional.of(failure);
    }
}
