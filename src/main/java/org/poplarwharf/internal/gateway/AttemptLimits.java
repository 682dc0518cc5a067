package org.poplarwharf.internal.gateway;

import java.util.Optional;
import org.poplarwharf.FailureCode;
import org.poplarwharf.internal.crash.CrashHistory;
import org.poplarwharf.internal.fleet.RouteKind;

/**
 * Counts the attempts of one exchange and decides whether another target may be tried.
 *
 * <p>Invariant: another target is tried only with time left and, once the request has been sent to a target, a retry taken
 * from the budget; after a possible run only as often as the route allows, where a current attempt that is not sent yet
 * counts as a run. A request that has crashed targets is not sent again. Confined to the event loop.
 */
final class AttemptLimits {
    /** A request is not sent with less time left, because no target could produce a useful result. */
    private static final long MIN_RUN_MILLIS = 15;

    /** Why a request is refused that a draining node could not run to its end. */
    static final String NODE_ENDS_BEFORE = "node ends before the request would";

    private final RequestContext request;
    private final GatewayContext context;
    private final ExchangeRecorder recorder;
    private int attemptCount;
    private int possibleRunCount;
    private boolean wasSent;

    AttemptLimits(RequestContext request, ExchangeRecorder recorder) {
        this.request = request;
        this.context = request.gateway();
        this.recorder = recorder;
    }

    /** Adds the request to those that allow retries, unless the node that sent it has done so. */
    void recordRequest() {
        if (!request.fromPeer()) {
            context.retryBudget().recordRequest(request.service(), context.nowMillis());
        }
    }

    void recordAttempt() {
        attemptCount++;
    }

    /** Records that the latest attempt ended with its search, so that nothing was sent. */
    void recordNotAttempted() {
        attemptCount--;
    }

    void recordPossibleRun() {
        possibleRunCount++;
        wasSent = true;
    }

    /** Records that the latest possible run did not happen, according to its target. */
    void recordNotRun() {
        possibleRunCount--;
    }

    int attemptCount() {
        return attemptCount;
    }

    int possibleRunCount() {
        return possibleRunCount;
    }

    boolean mayHaveRun() {
        return possibleRunCount > 0;
    }

    boolean hasTimeLeft() {
        return request.millisLeft() > MIN_RUN_MILLIS;
    }

    /**
     * Returns whether to try another target after one that did not run the request.
     *
     * @param response what the caller has of the response
     */
    boolean tryReserveAttempt(ResponseRelay response) {
        return (!mayHaveRun() || isRerunAllowed(response))
                && attemptCount < context.policy().maxAttemptCount()
                && (wasSent ? tryReserveRetry() : mayBeSent());
    }

    /** Returns whether a request that may have run can be sent to one more target. */
    boolean tryReserveRerun(ResponseRelay response) {
        return isRerunAllowed(response) && possibleRunCount < request.route().maxTargets() && tryReserveRetry();
    }

    /** Returns whether the request can be sent to one more target while the attempt at a silent one goes on. */
    boolean tryReserveRerunBeside(Attempt silent, ResponseRelay response) {
        return isRerunAllowed(response) && hasRunLeftBeside(silent) && tryReserveRetry();
    }

    /** Returns whether the request could be sent to one more target now, while the attempt at a silent one goes on. */
    boolean allowsRerunBeside(Attempt silent, ResponseRelay response) {
        return isRerunAllowed(response)
                && hasRunLeftBeside(silent)
                && attemptCount < context.policy().maxAttemptCount()
                && hasTimeLeft()
                && crashRefusal().isEmpty()
                && context.retryBudget().hasRetryLeft(request.service(), context.nowMillis());
    }

    private boolean hasRunLeftBeside(Attempt silent) {
        int pendingRunCount = silent.wasSent() ? 0 : 1;
        return possibleRunCount + pendingRunCount < request.route().maxTargets();
    }

    /** Returns whether the route allows another run that can continue the response from where the caller has it. */
    boolean isRerunAllowed(ResponseRelay response) {
        boolean isResumable = request.route().kind() == RouteKind.RESUMABLE_STREAM && response.hasForwardedEvents();
        return request.route().kind().isRetryable() && (!response.started() || isResumable);
    }

    /** Why and for how long a request is refused. */
    record Refusal(FailureCode code, String reason, long retryAfterMillis) {}

    /** Returns whether and why the request must not run (again), whatever target there is. */
    Optional<Refusal> refusal() {
        if (!mayHaveRun() && !request.canRunWithinGracePeriod()) {
            return Optional.of(new Refusal(FailureCode.SHUTTING_DOWN, NODE_ENDS_BEFORE, 0));
        }
        return crashRefusal()
                .map(found -> new Refusal(FailureCode.CRASH_SUSPECTED, found.reason(), found.remainingMillis()));
    }

    /** Returns whether and why the request is refused, since it or a part of its prompt has crashed targets. */
    Optional<CrashHistory.Refusal> crashRefusal() {
        return context.crashRefusal(request.suspects());
    }

    private boolean mayBeSent() {
        return hasTimeLeft() && refusal().isEmpty();
    }

    /** Takes a retry from the budget, or returns false if there is none, no time left or the request is refused. */
    boolean tryReserveRetry() {
        if (!mayBeSent()) {
            return false;
        }
        long nowMillis = context.nowMillis();
        boolean granted = context.retryBudget().tryAcquire(request.service(), nowMillis);
        recorder.recordRetryDecision(granted, context.retryBudget().usage(request.service(), nowMillis));
        return granted;
    }
}
