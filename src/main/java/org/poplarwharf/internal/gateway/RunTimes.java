package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * How long requests of each route have lately run at their targets, at most. Those that were given up count, since they
 * would have run longer.
 *
 * <p>Invariant: keeps nothing of a route without a run for twice {@link #WINDOW_MILLIS} or longer. Confined to the event
 * loop.
 */
final class RunTimes {
    /** A time counts for this long at least, and for twice as long at most. */
    static final long WINDOW_MILLIS = 30_000;

    private Map<String, Long> latest = new HashMap<>();
    private Map<String, Long> before = new HashMap<>();
    private long latestSinceMillis;

    RunTimes(long nowMillis) {
        latestSinceMillis = nowMillis;
    }

    /** Records how long a run took, or had taken when it was given up. */
    void record(String route, long millis, long nowMillis) {
        rotate(nowMillis);
        latest.merge(route, millis, Math::max);
    }

    /** Returns how many milliseconds the longest run of a route took; empty without a run to go by. */
    OptionalLong longestMillis(String route, long nowMillis) {
        rotate(nowMillis);
        if (!latest.containsKey(route) && !before.containsKey(route)) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(latest.getOrDefault(route, 0L), before.getOrDefault(route, 0L)));
    }

    private void rotate(long nowMillis) {
        long elapsedMillis = nowMillis - latestSinceMillis;
        if (elapsedMillis < WINDOW_MILLIS) {
            return;
        }
        before = elapsedMillis < 2 * WINDOW_MILLIS ? latest : new HashMap<>();
        latest = new HashMap<>();
        latestSinceMillis = nowMillis;
    }
}
