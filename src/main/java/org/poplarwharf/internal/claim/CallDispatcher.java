package org.poplarwharf.internal.claim;

import io.activej.promise.Promise;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Place;

/**
 * Sends a claimed call to its target once.
 *
 * <p>Called from the control thread only; the promise completes on it and never fails.
 */
@FunctionalInterface
public interface CallDispatcher {
    /** Sends the call at most once and never again, whatever happens to the connection. */
    Promise<Result> dispatch(Place place, PeerMessage.Call call);

    /** How a dispatch ended. */
    sealed interface Result {
        /** The whole answer arrived. */
        record ResponseReceived(int status, String contentType, byte[] body) implements Result {}

        /** No byte of the call left this node. */
        record NotSent(Exception cause) implements Result {}

        /** The call may have reached the target; no whole answer came. */
        record OutcomeUnknown(Exception cause) implements Result {}
    }
}
