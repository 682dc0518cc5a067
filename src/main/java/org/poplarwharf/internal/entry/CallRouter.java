package org.poplarwharf.internal.entry;

import io.activej.http.HttpResponse;
import io.activej.promise.Promise;

/** Hands calls that may not be repeated to where they are claimed. Thread-safe. */
@FunctionalInterface
interface CallRouter {
    Promise<HttpResponse> call(TrafficThreadContext thread, CallerRequest request);
}
