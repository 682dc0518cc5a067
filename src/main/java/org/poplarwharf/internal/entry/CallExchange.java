package org.poplarwharf.internal.entry;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import org.poplarwharf.internal.failure.CallerReporter;

/**
 * Runs one at-most-once call.
 *
 * <p>Invariant: the caller gets one response, when the node stops at the latest. A call is also begun in a drain, since a call
 * with its key may have run, and its refusal would say "not run". Confined to one traffic thread.
 */
final class CallExchange implements RequestsInFlight.InFlight {
    private final TrafficThreadContext thread;
    private final CallerRequest request;
    private final SettablePromise<HttpResponse> responsePromise = new SettablePromise<>();

    CallExchange(TrafficThreadContext thread, CallerRequest request) {
        this.thread = thread;
        this.request = request;
    }

    /** Runs the call. The promise fails with the failure that is reported to the caller. */
    Promise<HttpResponse> run(CallRouter calls) {
        thread.requestsInFlight().add(this);
        calls.call(thread, request).whenComplete(responsePromise::trySet);
        return responsePromise.whenComplete(() -> thread.requestsInFlight().remove(this));
    }

    /** Does nothing: the call may have begun at the holder. */
    @Override
    public void onDrain() {}

    @Override
    public void onStop() {
        responsePromise.trySetException(
                CallerReporter.outcomeUnknown(request.callKey(), "The node that received the call was stopped."));
    }
}
