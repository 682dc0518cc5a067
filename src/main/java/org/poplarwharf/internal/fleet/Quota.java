package org.poplarwharf.internal.fleet;

/**
 * What the requests of a client account may use, over all nodes together. Immutable and thread-safe.
 *
 * <p>Invariants: the rate is positive, and the burst is not negative.
 *
 * @param unit what is counted
 * @param perSecond units per second that may be used on average
 * @param burst units that may be used beyond the rate after a time of lower use
 * @param plainCost units that a request counts as if it states no tokens; used only where tokens are counted
 */
public record Quota(Unit unit, double perSecond, double burst, double plainCost) {
    /** What a quota counts. */
    public enum Unit {
        REQUESTS,
        TOKENS
    }

    /** Returns the units that a request uses. */
    public double cost(RequestTraits traits) {
        return switch (unit) {
            case REQUESTS -> 1;
            case TOKENS -> {
                double tokens = (double) traits.promptTokens() + traits.maxOutputTokens();
                yield tokens > 0 ? tokens : plainCost;
            }
        };
    }
}
