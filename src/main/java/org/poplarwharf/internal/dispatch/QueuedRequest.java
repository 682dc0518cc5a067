package org.poplarwharf.internal.dispatch;

/**
 * A request that waits for a target. Immutable.
 *
 * @param returned whether it takes the place of a caller that was refused and told to return about now
 */
record QueuedRequest(DispatchRequest request, long queuedAtMillis, boolean returned) {
    /** Most responses end long before their limit, so a response counts with at most this many tokens. */
    private static final long MAX_COUNTED_OUTPUT_TOKENS = 400;

    /** Returns the work that the request needs: the tokens with which it fills a target. */
    long workTokens() {
        return Math.max(1, request.traits().promptTokens())
                + Math.min(request.traits().maxOutputTokens(), MAX_COUNTED_OUTPUT_TOKENS);
    }

    /** Returns whether this request for the same model is placed before another. */
    boolean isAheadOf(QueuedRequest other) {
        if (this == other || !request.model().equals(other.request.model())) {
            return false;
        }
        return request.priority() < other.request.priority()
                || (request.priority() == other.request.priority() && queuedAtMillis <= other.queuedAtMillis);
    }
}
