package org.poplarwharf.internal.claim;

import io.activej.promise.Promise;
import org.poplarwharf.internal.peer.PeerMessage;
import org.poplarwharf.internal.place.Permit;

/**
 * Sends a claimed call to its target once.
 *
 * <p>Called only from the control thread. The promise completes on that thread and never fails.
 */
@FunctionalInterface
public interface CallDispatcher {
    /** Sends the call at most once. It is never sent again, even if the connection fails. */
    Promise<Result> dispatch(Permit permit, PeerMessage.Call call);

    /** The result of a dispatch. */
    sealed interface Result {
        /** The complete response was received. */
        record ResponseReceived(int status, String contentType, byte[] body) implements Result {}

        /** No byte of the call was sent. */
        record NotSent(Exception cause) implements Result {}

        /** The call may have reached the target, but no complete response was received. */
        record OutcomeUnknown(Exception cause) implements Result {}

        /** The target responded with a status that promises callers that the call has not run, which it doesn't state. */
        record UnprovenRefusal(int status) implements Result {}
    }
}
