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
 * One wish for a place while it is open: which cell is asked, where, and under which wire id.
 *
 * <p>Belongs to the control thread.
 */
final class PendingPermit {
    private static final long REACHABLE = -1;

    private final PermitRequest request;
    private final List<String> cells;
    private final SettablePromise<Permit> promise = new SettablePromise<>();
    private final Map<String, String> cellByWire = new HashMap<>();
    private int cellIndex;
    private int asked;
    private long unreachableSinceMillis = REACHABLE;
    private boolean isEnded;
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
        return request.admission().requestId();
    }

    ArtifactId artifact() {
        return request.admission().artifact();
    }

    SettablePromise<Permit> promise() {
        return promise;
    }

    boolean isEnded() {
        return isEnded;
    }

    void markEnded() {
        isEnded = true;
    }

    Optional<String> cell() {
        return cellIndex < cells.size() ? Optional.of(cells.get(cellIndex)) : Optional.empty();
    }

    void advanceToNextCell() {
        cellIndex++;
        unreachableSinceMillis = REACHABLE;
    }

    Optional<String> findCell(String wireId) {
        return Optional.ofNullable(cellByWire.get(wireId));
    }

    Optional<String> peerAddress() {
        return peerAddress;
    }

    String attemptId() {
        return requestId() + "." + asked;
    }

    String startAttempt(Optional<String> askedPeer) {
        asked++;
        peerAddress = askedPeer;
        cell().ifPresent(cell -> cellByWire.put(attemptId(), cell));
        return attemptId();
    }

    /** Returns the request as it is sent now. */
    AdmissionRequest requestForAttempt(long nowMillis) {
        AdmissionRequest admission = request.admission();
        return new AdmissionRequest(
                attemptId(),
                admission.artifact(),
                admission.requestClass(),
                admission.tenant(),
                admission.zone(),
                Math.max(0, request.deadlineMillis() - nowMillis),
                admission.fingerprint(),
                admission.prefixHash(),
                admission.excludedTargets());
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
