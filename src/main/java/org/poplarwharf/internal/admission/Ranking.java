package org.poplarwharf.internal.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses among requests for several artifacts that could be granted now: the highest priority first, then the tenant that
 * has had the least, then the oldest. Every {@link #STARVATION_INTERVAL}th choice goes to the lowest priority instead, so
 * that no class waits for ever.
 *
 * <p>Belongs to the control thread.
 */
final class Ranking {
    private static final int STARVATION_INTERVAL = 8;

    private final FairShare share = new FairShare();
    private int sinceLowest;

    FairShare share() {
        return share;
    }

    /** Tells whether the next choice is the lowest priority's. */
    boolean lowestIsDue() {
        return sinceLowest >= STARVATION_INTERVAL;
    }

    Optional<Granter.Match> best(List<Granter.Match> matches) {
        Comparator<Granter.Match> byPriority =
                Comparator.comparingInt(match -> match.waiting().priority());
        Comparator<Granter.Match> order = lowestIsDue() ? byPriority : byPriority.reversed();
        return matches.stream()
                .min(order.thenComparingDouble(
                                match -> share.usage(match.waiting().request().tenant()))
                        .thenComparingLong(match -> match.waiting().arrivedAtMillis()));
    }

    /** Counts a choice; {@code overtakes} tells whether a request of a lower priority waits behind it. */
    void chosen(String tenant, int weight, boolean overtakes) {
        share.granted(tenant, weight);
        if (lowestIsDue() || !overtakes) {
            sinceLowest = 0;
            return;
        }
        sinceLowest++;
    }
}
