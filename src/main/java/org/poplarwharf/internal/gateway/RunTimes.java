package org.poplarwharf.internal.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.poplarwharf.internal.fleet.RequestTraits;

/**
 * How long requests of each route have lately run at their targets, at most: until the first bytes of the response, and
 * from then on for each token that the request may bring. Those that were given up count, since they would have run longer.
 *
 * <p>Invariant: keeps nothing of a route without a run for twice {@link #WINDOW_MILLIS} or longer. Confined to the
 * event loop.
 */
final class RunTimes {
    /** A time counts for this long at least, and for twice as long at most. */
    static final long WINDOW_MILLIS = 30_000;

    private Map<String, Longest> latest = new HashMap<>();
    private Map<String, Longest> before = new HashMap<>();
    private long latestSinceMillis;

    RunTimes(long nowMillis) {
        latestSinceMillis = nowMillis;
    }

    private record Longest(long untilFirstBytesMillis, double perTokenMillis) {
        static final Longest NONE = new Longest(0, 0);

        Longest max(Longest other) {
            return new Longest(
                    Math.max(untilFirstBytesMillis, other.untilFirstBytesMillis),
                    Math.max(perTokenMillis, other.perTokenMillis));
        }
    }

    /** Records a run, with its times in milliseconds after it was sent to its target. */
    void record(String route, RequestTraits traits, long untilFirstBytesMillis, long untilEndMillis, long nowMillis) {
        rotate(nowMillis);
        double perTokenMillis = (double) (untilEndMillis - untilFirstBytesMillis) / tokenCount(traits);
        latest.merge(route, new Longest(untilFirstBytesMillis, perTokenMillis), Longest::max);
    }

    /** Returns how many milliseconds a run is expected to take at most; empty without a run to go by. */
    OptionalLong expectedMillis(String route, RequestTraits traits, long nowMillis) {
        rotate(nowMillis);
        if (!latest.containsKey(route) && !before.containsKey(route)) {
            return OptionalLong.empty();
        }
        Longest longest = latest.getOrDefault(route, Longest.NONE).max(before.getOrDefault(route, Longest.NONE));
        return OptionalLong.of(
                longest.untilFirstBytesMillis() + Math.round(longest.perTokenMillis() * tokenCount(traits)));
    }

    private static long tokenCount(RequestTraits traits) {
        return Math.max(1, traits.maxOutputTokens());
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
