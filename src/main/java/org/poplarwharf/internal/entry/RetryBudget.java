package org.poplarwharf.internal.entry;

/**
 * Bounds retries to a tenth of the requests and a few more, so that they can't multiply an overload.
 *
 * <p>Belongs to one traffic thread.
 */
final class RetryBudget {
    private static final double RETRY_TOKENS_PER_REQUEST = 0.1;
    private static final double MAX_RETRY_TOKENS = 10;

    private double tokens = MAX_RETRY_TOKENS;

    void onRequest() {
        tokens = Math.min(MAX_RETRY_TOKENS, tokens + RETRY_TOKENS_PER_REQUEST);
    }

    boolean tryAcquire() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
