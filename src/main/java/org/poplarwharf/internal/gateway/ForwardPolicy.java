package org.poplarwharf.internal.gateway;

import java.util.OptionalLong;
import org.poplarwharf.internal.fleet.RequestTraits;
import org.poplarwharf.internal.fleet.Route;
import org.poplarwharf.internal.fleet.RouteKind;

/**
 * How long a request stays with a target, and how often it is sent.
 *
 * <p>Answers this load: targets that hang, go dark or fail now and then, while the time that a caller has is a few times
 * its objective. Immutable and thread-safe.
 */
final class ForwardPolicy {
    /** Many times a connection's usual few milliseconds, and short against any deadline. */
    private static final int CONNECT_TIMEOUT_MILLIS = 300;

    /** A kept connection that a target closes meanwhile fails the request, which these routes may repeat. */
    private static final long REPEATABLE_IDLE_MILLIS = 8_000;

    /** Requests that must not be repeated go on connections that were used a moment ago, or on new ones. */
    private static final long ONCE_IDLE_MILLIS = 1_000;

    private static final double LOOKUP_PATIENCE = 1.3;
    private static final long LEAST_LOOKUP_PATIENCE_MILLIS = 100;
    private static final double FIRST_EVENT_PATIENCE = 1.25;
    private static final long LEAST_FIRST_EVENT_MILLIS = 1_500;

    /** Three times the pause between events that callers accept as timely. */
    private static final long GAP_MILLIS = 1_200;

    /** Targets that were full or unreachable are so for moments; a caller returns after one. */
    private static final long RETRY_AFTER_MILLIS = 300;

    /** A copy of a longer prompt costs more than the few streams that targets take with them. */
    private static final long BACKED_UP_TOKENS = 2_500;

    private static final int MAX_SENDS = 6;

    /** From this send on, an engine that declined is left out; before, it may just not have been ready. */
    private static final int EXCLUDE_FROM_SEND = 2;

    int connectTimeoutMillis(long millisLeft) {
        return Math.clamp(millisLeft / 3, 1, CONNECT_TIMEOUT_MILLIS);
    }

    long maxIdleMillis(RouteKind kind) {
        return kind.isRetryable() ? REPEATABLE_IDLE_MILLIS : ONCE_IDLE_MILLIS;
    }

    /** Returns how long the nth target has for a first event or an answer, where another one may be tried. */
    OptionalLong patienceMillis(Route route, int nth) {
        if (!route.kind().isRetryable() || nth >= route.maxTargets()) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(
                route.kind().isStream()
                        ? Math.max(LEAST_FIRST_EVENT_MILLIS, Math.round(route.objectiveMillis() * FIRST_EVENT_PATIENCE))
                        : Math.max(
                                LEAST_LOOKUP_PATIENCE_MILLIS, Math.round(route.objectiveMillis() * LOOKUP_PATIENCE)));
    }

    /** Returns how long the nth target may pause between events, where another one may go on. */
    OptionalLong gapPatienceMillis(Route route, int nth) {
        return route.kind().isRetryable() && nth <= route.maxTargets()
                ? OptionalLong.of(GAP_MILLIS)
                : OptionalLong.empty();
    }

    /** Tells whether the memory of a run is to be kept at a second target: where it can't be run again, and is small. */
    boolean wantsBackup(Route route, RequestTraits traits) {
        return route.kind() == RouteKind.STREAM && traits.promptTokens() <= BACKED_UP_TOKENS;
    }

    /** Tells whether a target's own failure is worth another target. */
    boolean repeatsFailures(Route route) {
        return route.kind() == RouteKind.REPEATABLE;
    }

    /** Tells whether a target that declined is left out when the request is sent again. */
    boolean exclude(Route route, int sends) {
        return !route.sharesPrompts() || sends >= EXCLUDE_FROM_SEND;
    }

    int maxSends() {
        return MAX_SENDS;
    }

    long retryAfterDeclinedMillis() {
        return RETRY_AFTER_MILLIS;
    }
}
