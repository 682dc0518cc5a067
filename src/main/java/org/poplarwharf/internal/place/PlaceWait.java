package org.poplarwharf.internal.place;

import io.activej.promise.SettablePromise;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.poplarwharf.PoplarWharfException;
import org.poplarwharf.internal.admission.AdmitRequest;
import org.poplarwharf.plugins.ArtifactId;

/**
 * One wish for a place while it is open: which cell is asked, where, and under which wire id.
 *
 * <p>Belongs to the control thread.
 */
final class PlaceWait {
    private static final long REACHABLE = -1;

    private final PlaceRequest request;
    private final List<String> cells;
    private final SettablePromise<Place> promise = new SettablePromise<>();
    private final Map<String, String> cellByWire = new HashMap<>();
    private int cellIndex;
    private int asked;
    private long unreachableSinceMillis = REACHABLE;
    private boolean ended;
    private Optional<String> peerAddress = Optional.empty();
    private Optional<PoplarWharfException> lastFailure = Optional.empty();

    PlaceWait(PlaceRequest request, List<String> cells) {
        this.request = request;
        this.cells = List.copyOf(cells);
    }

    PlaceRequest request() {
        return request;
    }

    String requestId() {
        return request.admission().requestId();
    }

    ArtifactId artifact() {
        return request.admission().artifact();
    }

    SettablePromise<Place> promise() {
        return promise;
    }

    boolean ended() {
        return ended;
    }

    void end() {
        ended = true;
    }

    Optional<String> cell() {
        return cellIndex < cells.size() ? Optional.of(cells.get(cellIndex)) : Optional.empty();
    }

    void nextCell() {
        cellIndex++;
        unreachableSinceMillis = REACHABLE;
    }

    Optional<String> cellOf(String wireId) {
        return Optional.ofNullable(cellByWire.get(wireId));
    }

    Optional<String> peerAddress() {
        return peerAddress;
    }

    String wireId() {
        return requestId() + "." + asked;
    }

    String nextWireId(Optional<String> askedPeer) {
        asked++;
        peerAddress = askedPeer;
        cell().ifPresent(cell -> cellByWire.put(wireId(), cell));
        return wireId();
    }

    /** Returns the request as it is sent now. */
    AdmitRequest wireRequest(long nowMillis) {
        AdmitRequest admission = request.admission();
        return new AdmitRequest(
                wireId(),
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

    void refusedBy(PoplarWharfException failure) {
        lastFailure = Optional.of(failure);
    }
}
