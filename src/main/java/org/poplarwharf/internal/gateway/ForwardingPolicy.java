package org.poplarwharf.internal.gateway;

import java.util.OptionalLong;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.RouteKind;
import org.poplarwharf.internal.fleet.Target;

/**
 * Timeouts and retry limits for forwarding a request to targets.
 *
 * <p>Assumes targets that occasionally hang, become unreachable or fail, and callers whose deadline is a few times
 * their latency objective. Immutable and thread-safe.
 */
final class ForwardingPolicy {
    /**
     * Connecting usually takes a few milliseconds. The limit is many times that and still short compared to any
     * deadline.
     */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /**
     * If the target closes an idle connection while the request is sent, the request fails, but these routes may rerun
     * it.
     */
    private static final long MAX_RERUNNABLE_IDLE_MILLIS = 8_000;

    /**
     * Requests that must not be rerun use only a recently used or a new connection, which the target is not about to
     * close.
     */
    private static final long MAX_RUN_ONCE_IDLE_MILLIS = 1_000;

    private static final double RESPONSE_TIMEOUT_RATIO = 1.3;
    private static final long MIN_RESPONSE_TIMEOUT_MILLIS = 100;
    private static final double FIRST_EVENT_TIMEOUT_RATIO = 1.25;
    private static final long MIN_FIRST_EVENT_TIMEOUT_MILLIS = 1_500;

    /** Three times the pause between events that callers still accept as timely. */
    private static final long EVENT_GAP_TIMEOUT_MILLIS = 1_200;

    /** Targets are usually full or unreachable only briefly, so callers are told to retry soon. */
    private static final long RETRY_AFTER_MILLIS = 300;

    /** Copying the memory of a longer prompt costs more than losing the few streams that are lost with their target. */
    private static final long MAX_BACKED_UP_PROMPT_TOKENS = 2_500;

    private static final int MAX_ATTEMPT_COUNT = 6;

    /** From this attempt on, an engine that declined is excluded. Before that, it may only have been not ready yet. */
    private static final int FIRST_EXCLUDING_ATTEMPT = 2;

    int connectTimeoutMillis(long millisLeft) {
        return Math.clamp(millisLeft / 3, 1, CONNECT_TIMEOUT_MILLIS);
    }

    long maxIdleMillis(RouteKind kind) {
        return kind.isRetryable() ? MAX_RERUNNABLE_IDLE_MILLIS : MAX_RUN_ONCE_IDLE_MILLIS;
    }

    /**
     * Returns the timeout for the first event or the response, or empty if no other target may be tried.
     *
     * @param runCount possible runs of the request so far, with the one that waits
     */
    OptionalLong progressTimeoutMillis(Target target, Route route, int runCount) {
        // Another node replaces silent targets itself.
        if (target.isNode() || !route.kind().isRetryable() || runCount >= route.maxTargets()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                route.kind().isStream()
                        ? Math.max(
                                MIN_FIRST_EVENT_TIMEOUT_MILLIS,
                                Math.round(route.objectiveMillis() * FIRST_EVENT_TIMEOUT_RATIO))
                        : Math.max(
                                MIN_RESPONSE_TIMEOUT_MILLIS,
                                Math.round(route.objectiveMillis() * RESPONSE_TIMEOUT_RATIO)));
    }

    /**
     * Returns the longest pause between events, or empty if no other target may continue.
     *
     * @param runCount possible runs of the request so far, with the one that sends the events
     */
    OptionalLong eventGapTimeoutMillis(Target target, Route route, int runCount) {
        return !target.isNode() && route.kind().isRetryable() && runCount < route.maxTargets()
                ? OptionalLong.of(EVENT_GAP_TIMEOUT_MILLIS)
                : OptionalLong.empty();
    }

    /**
     * Returns whether a second target should keep a copy of the run's state: if it cannot be rerun and its prompt is
     * short.
     */
    boolean wantsBackup(Route route, RequestTraits traits) {
        return route.kind() == RouteKind.STREAM && traits.promptTokens() <= MAX_BACKED_UP_PROMPT_TOKENS;
    }

    /** Returns whether a server error from a target (status 500 or above) is retried on another target. */
    boolean retriesServerErrors(Target target, Route route) {
        // Another node has tried as many targets as the route allows.
        return !target.isNode() && route.kind() == RouteKind.REPEATABLE;
    }

    /** Returns whether a target that declined is excluded from the next attempt. */
    boolean excludesDeclined(Target target, Route route, int attempts) {
        return target.isNode() || !route.sharesPrompts() || attempts >= FIRST_EXCLUDING_ATTEMPT;
    }

    int maxAttemptCount() {
        return MAX_ATTEMPT_COUNT;
    }

    long retryAfterDeclinedMillis() {
        return RETRY_AFTER_MILLIS;
    }
}
