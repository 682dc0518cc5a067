package org.poplarwharf.internal.admission;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Orders the requests that could be granted now: highest priority first, then the tenant with the lowest fair-share
 * usage, then the oldest request. After {@link #STARVATION_LIMIT_COUNT} choices in a row that passed over a lower
 * priority, the next one goes to the lowest priority, so that no class starves.
 *
 * <p>Confined to the control thread.
 */
final class GrantRanking {
    private static final int STARVATION_LIMIT_COUNT = 8;

    private final FairShare fairShare = new FairShare();
    private int overtakesSinceLowest;

    FairShare fairShare() {
        return fairShare;
    }

    /** Returns whether the next choice goes to the lowest priority. */
    boolean isLowestPriorityDue() {
        return overtakesSinceLowest >= STARVATION_LIMIT_COUNT;
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

    /**
     * Records a choice.
     *
     * @param overtakes whether the chosen request passed over one of a lower priority
     */
    void recordChoice(String tenant, int weight, boolean overtakes) {
        fairShare.recordGrant(tenant, weight);
        if (isLowestPriorityDue() || !overtakes) {
            overtakesSinceLowest = 0;
            return;
        }
        overtakesSinceLowest++;
    }
}
