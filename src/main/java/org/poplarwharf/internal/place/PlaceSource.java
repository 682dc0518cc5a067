package org.poplarwharf.internal.place;

import io.activej.promise.Promise;
import org.poplarwharf.internal.admission.Finished;

/**
 * Where requests get places on targets, whichever node holds the cell.
 *
 * <p>Called from the control thread only. Each place must be given back exactly once.
 */
public interface PlaceSource {
    /** Waits for a place; fails when the holder refuses, or none is reachable and no warm replica is known. */
    Promise<Place> ask(PlaceRequest request);

    /** The wish is given up; a place that still arrives is given back here, and the promise of the wish fails. */
    void withdraw(String requestId);

    /** A place is given back. */
    void giveBack(Place place, Finished.Outcome outcome, long serviceMillis, long firstByteMillis);
}
