package org.poplarwharf.internal.entry;

/**
 * A token bucket that limits retries to a tenth of the requests plus a burst of ten, so that retries can't amplify an
 * overload.
 *
 * <p>Confined to one traffic thread.
 */
final class RetryTokenBucket {
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
    private static final double MAX_RETRY_TOKENS = 10;

    private double tokens = MAX_RETRY_TOKENS;

    /** Adds a tenth of a token for a new request. */
    void onRequest() {
        tokens = Math.min(MAX_RETRY_TOKENS, tokens + RETRY_TOKENS_PER_REQUEST);
    }

    /** Takes a token for one retry; returns false if there is none. */
    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }

    /** Returns the token of a retry that was not made. */
    void giveBack() {
        tokens = Math.min(MAX_RETRY_TOKENS, tokens + 1);
    }
}
