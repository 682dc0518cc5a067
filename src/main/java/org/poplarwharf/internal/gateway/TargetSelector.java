package org.poplarwharf.internal.gateway;

import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.dispatch.DispatchRequest;
import org.poplarwharf.internal.dispatch.RunOutcome;
import org.poplarwharf.internal.fleet.Target;

/** Selects the target for a request. Confined to the event loop. */
public interface TargetSelector {
    /**
     * Searches for a target. Calls exactly one method of the callback, now or later, unless the search is cancelled
     * first.
     */
    void select(DispatchRequest request, Callback callback);

    /** Cancels a search that has not ended. */
    void cancel(String key);

    /**
     * Reports the outcome of a request at its target. A stream is reported as answered at its first event and may break
     * later.
     */
    void reportOutcome(String key, RunOutcome outcome);

    /** Reports that a request with a selected target has ended normally, and whether its response was certainly a success. */
    void reportEnd(String key, boolean successful);

    /**
     * Reports that the request needs no target any more.
     *
     * @param mayHaveRun whether a target may have run it
     */
    default void reportRequestEnd(boolean mayHaveRun) {}

    /** Reports that a target states that it leaves. */
    void reportLeaving(Target target);

    /**
     * Reports that a target has named the requests per second that it takes from all nodes together. To be called before
     * the outcome of the request is reported.
     */
    void reportLimit(String targetId, double requestsPerSecond);

    /** Receives the result of a search. */
    interface Callback {
        /** Called when a target is selected. A backup, if present, keeps a copy of the run's state. */
        void onSelected(Target target, Optional<Target> backup, String by);

        /** Called when no target is available in time. The caller should retry after the given time. */
        void onRejected(String reason, long retryAfterMillis);

        /** Called when the request may not run now, whichever targets there are. The caller should retry after the given time. */
        default void onRefused(FailureCode code, String reason, long retryAfterMillis) {
            onRejected(reason, retryAfterMillis);
        }
    }
}
