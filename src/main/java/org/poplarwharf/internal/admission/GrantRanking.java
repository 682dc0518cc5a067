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
final class GrantRanking {
    private static final int STARVATION_INTERVAL = 8;

    private final FairShare fairShare = new FairShare();
    private int sinceLowest;

    FairShare fairShare() {
        return fairShare;
    }

    /** Tells whether the next choice is the lowest priority's. */
    boolean isLowestPriorityDue() {
        return sinceLowest >= STARVATION_INTERVAL;
    }

    Optional<GrantScheduler.Match> best(List<GrantScheduler.Match> matches) {
        Comparator<GrantScheduler.Match> byPriority =
                Comparator.comparingInt(match -> match.request().priority());
        Comparator<GrantScheduler.Match> order = isLowestPriorityDue() ? byPriority : byPriority.reversed();
        return matches.stream()
                .min(order.thenComparingDouble(match ->
                                fairShare.usage(match.request().request().tenant()))
                        .thenComparingLong(match -> match.request().arrivedAtMillis()));
    }

    /** Counts a choice; {@code overtakes} tells whether a request of a lower priority waits behind it. */
    void recordChoice(String tenant, int weight, boolean overtakes) {
        fairShare.recordGrant(tenant, weight);
        if (isLowestPriorityDue() || !overtakes) {
            sinceLowest = 0;
            return;
        }
        sinceLowest++;
    }
}
