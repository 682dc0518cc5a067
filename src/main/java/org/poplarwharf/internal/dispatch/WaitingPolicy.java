package org.poplarwharf.internal.dispatch;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Decides, for the requests that wait for targets, which is placed first and which is refused because the targets of its
 * model are full. Implementations are confined to one thread; the current time is passed with each call.
 */
sealed interface WaitingPolicy permits UrgencyWaitingPolicy, CostWaitingPolicy {
    /**
     * A request whose targets are all full is queued for at most this share of the time to its deadline, unless more is
     * known. The rest leaves the caller time to retry.
     */
    double MAX_WAIT_RATIO = 0.6;

    long RETRY_AFTER_MILLIS = 400;

    /** Why a request is refused, and when its caller should retry. */
    record Refusal(String reason, long retryAfterMillis) {}

    /** Accepts a request that was submitted. */
    QueuedRequest accept(DispatchRequest request, long nowMillis);

    /** Returns whether a request that has just been accepted may be placed before all others are looked at. */
    boolean mayPlaceAtOnce(QueuedRequest accepted, int queuedCount);

    /** Returns the requests in the order in which to place them, at the start of a pass over all of them. */
    List<QueuedRequest> inOrder(Collection<QueuedRequest> queued, long nowMillis);

    void recordGrant(QueuedRequest granted, long nowMillis);

    /** Returns the refusal of a request whose targets are full; empty if it goes on waiting. Called once in a pass. */
    Optional<Refusal> refusalIfFull(QueuedRequest queued, long nowMillis);

    /** Returns how long a request may wait by the share of its time alone. */
    static long maxWaitMillis(QueuedRequest queued) {
        return Math.round((queued.request().deadlineMillis() - queued.queuedAtMillis()) * MAX_WAIT_RATIO);
    }
}
