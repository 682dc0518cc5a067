package org.poplarwharf.internal.entry;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

/** Routes at-most-once calls to the node that runs them. Thread-safe. */
@FunctionalInterface
interface CallRouter {
    /** Runs a call that arrived on the given traffic thread and returns the response to its caller. */
    Promise<HttpResponse> call(TrafficThreadContext thread, CallerRequest request);
}
