package org.poplarwharf.internal.gateway;

import org.poplarwharf.internal.fleet.Route;

/**
 * Counts the attempts of one exchange and decides whether another target may be tried.
 *
 * <p>Invariant: another target is tried only with time left and a retry taken from the budget, and after a possible run
 * only as often as the route allows. Confined to the event loop.
 */
final class AttemptLimits {
    /** A request is not sent with less time left, because no target could produce a useful result. */
    private static final long MIN_RUN_MILLIS = 15;

    private final GatewayContext context;
    private final ExchangeRecorder recorder;
    private final Route route;
    private final String service;
    private final long deadlineMillis;
    private int attemptCount;
    private int possibleRunCount;

    AttemptLimits(GatewayContext context, ExchangeRecorder recorder, Route route, String service, long deadlineMillis) {
        this.context = context;
        this.recorder = recorder;
        this.route = route;
        this.service = service;
        this.deadlineMillis = deadlineMillis;
    }

    void recordAttempt() {
        attemptCount++;
    }

    void recordPossibleRun() {
        possibleRunCount++;
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
        return deadlineMillis - context.nowMillis() > MIN_RUN_MILLIS;
    }

    /**
     * Returns whether to try another target after one that did not run the request.
     *
     * @param rerunAllowed whether the request may run again if an earlier target may have run it
     */
    boolean tryReserveAttempt(boolean rerunAllowed) {
        return (!mayHaveRun() || rerunAllowed)
                && attemptCount < context.policy().maxAttemptCount()
                && tryReserveRetry();
    }

    /** Returns whether a request that may have run can be sent to one more target. */
    boolean tryReserveRerun(boolean rerunAllowed) {
        return rerunAllowed && possibleRunCount < route.maxTargets() && tryReserveRetry();
    }

    /** Takes a retry from the budget, or returns false if there is none or no time left. */
    boolean tryReserveRetry() {
        if (!hasTimeLeft()) {
            return false;
        }
        long nowMillis = context.nowMillis();
        boolean granted = context.retryBudget().tryAcquire(service, nowMillis);
        recorder.recordRetryDecision(service, granted, context.retryBudget().usage(service, nowMillis));
        return granted;
    }
}
