package org.poplarwharf.internal.entry;

/**
 * Bounds retries to a tenth of the requests and a few more, so that they can't multiply an overload.
 *
 * <p>Belongs to one traffic thread.
 */
final class RetryBudget {
    private static final double TOKENS_PER_REQUEST = 0.1;
    private static final double MAX_TOKENS = 10;

    private double tokens = MAX_TOKENS;

    void requestArrived() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
    }

    boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
