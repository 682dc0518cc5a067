package org.poplarwharf.internal.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Serves requests by priority, then those that can still meet their objective, then by deadline. Answers short waits,
 * after which there is room for all. Stateless and thread-safe.
 */
final class UrgencyWaitingPolicy implements WaitingPolicy {
    @Override
    public QueuedRequest accept(DispatchRequest request, long nowMillis) {
        return new QueuedRequest(request, nowMillis, false);
    }

    @Override
    public boolean mayPlaceAtOnce(QueuedRequest accepted, int queuedCount) {
        return true;
    }

    @Override
    public List<QueuedRequest> inOrder(Collection<QueuedRequest> queued, long nowMillis) {
        List<QueuedRequest> ordered = new ArrayList<>(queued);
        ordered.sort(Comparator.comparingInt(
                        (QueuedRequest waiting) -> waiting.request().priority())
                .thenComparing(waiting -> waiting.request().objectiveMillis() < nowMillis)
                .thenComparingLong(waiting -> waiting.request().deadlineMillis()));
        return ordered;
    }

    @Override
    public void recordGrant(QueuedRequest granted, long nowMillis) {
        // The order depends on the waiting requests alone.
    }

    @Override
    public Optional<Refusal> refusalIfFull(QueuedRequest queued, long nowMillis) {
        return nowMillis - queued.queuedAtMillis() > WaitingPolicy.maxWaitMillis(queued)
                ? Optional.of(new Refusal("targets-full", RETRY_AFTER_MILLIS))
                : Optional.empty();
    }
}
