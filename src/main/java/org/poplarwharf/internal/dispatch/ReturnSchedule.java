package org.poplarwharf.internal.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/**
 * The times at which refused callers were told to return, one behind the other as room comes free. Answers callers that
 * were refused together and would return together, and be refused again.
 *
 * <p>Attempts have ids of their own, so a returning caller is known by its model, class and account only. Invariant: each
 * refusal makes at most one place, and each place lets at most one request go before its equals. Confined to one thread;
 * the current time is passed with each call.
 */
final class ReturnSchedule {
    /** A place is kept for this long for a caller that returns late. */
    private static final long VALID_MILLIS = 2_000;

    /** Callers return this much before they were told to, at most; requests of others don't take their places earlier. */
    private static final long EARLY_MILLIS = 20;

    private final Map<Source, Deque<Long>> placesMillis = new HashMap<>();
    private final Map<String, Long> lastReturnMillis = new HashMap<>();

    /** What a caller that returns has in common with its first attempt. */
    private record Source(Optional<String> model, int priority, Optional<String> account) {
        static Source of(DispatchRequest request) {
            return new Source(request.model(), request.priority(), request.account());
        }
    }

    /**
     * Makes a place for the caller of a refused request, and returns the delay after which it should return.
     *
     * @param earliestMillis when there is room for it at the earliest
     * @param serviceMillis the time in which the room that it needs comes free
     * @param maxDelayMillis the delay that its deadline allows
     */
    long makePlace(
            DispatchRequest request, long earliestMillis, long serviceMillis, long maxDelayMillis, long nowMillis) {
        String model = request.model().orElse("");
        long returnMillis =
                Math.max(earliestMillis, lastReturnMillis.getOrDefault(model, Long.MIN_VALUE) + serviceMillis);
        long delayMillis = Math.clamp(returnMillis - nowMillis, 1, Math.max(1, maxDelayMillis));
        lastReturnMillis.put(model, nowMillis + delayMillis);
        placesMillis
                .computeIfAbsent(Source.of(request), source -> new ArrayDeque<>())
                .add(nowMillis + delayMillis);
        return delayMillis;
    }

    /** Returns whether the request takes the place of a caller that was told to return about now. */
    boolean takePlace(DispatchRequest request, long nowMillis) {
        Deque<Long> places = placesMillis.get(Source.of(request));
        if (places == null) {
            return false;
        }
        for (Iterator<Long> remaining = places.iterator(); remaining.hasNext(); ) {
            long placeMillis = remaining.next();
            if (placeMillis <= nowMillis + EARLY_MILLIS) {
                remaining.remove();
                return true;
            }
        }
        return false;
    }

    /** Drops the places whose callers did not return. */
    void dropExpired(long nowMillis) {
        placesMillis.values().forEach(places -> places.removeIf(placeMillis -> placeMillis + VALID_MILLIS < nowMillis));
        placesMillis.values().removeIf(Deque::isEmpty);
        lastReturnMillis.values().removeIf(returnMillis -> returnMillis < nowMillis);
    }
}
