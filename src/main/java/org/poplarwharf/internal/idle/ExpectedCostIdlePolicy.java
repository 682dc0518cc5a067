package org.poplarwharf.internal.idle;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.IdlePolicy;

/**
 * Keeps each idle artifact loaded for the time with the lowest expected cost, given the gaps observed between its
 * requests. The cost is the idle time until the next request or until the end of the keep-alive, plus the cost of a
 * cold start if the request arrives later.
 *
 * <p>The keep-alive that the operator configures is the cost of one cold start, in milliseconds of idle time. For an
 * artifact with few gaps, the gaps of all artifacts are mixed in. Under memory pressure, the artifact with the lowest
 * expected cost of a reload per byte is evicted first: the probability of a request soon, times the load time, divided
 * by the size.
 *
 * <p>Invariant: the keep-alive is never longer than {@link #MAX_KEEP_ALIVE_TO_COLD_START_COST_RATIO} times the cost of a
 * cold start. Confined to the control thread.
 */
public final class ExpectedCostIdlePolicy implements IdlePolicy {
    private static final double MAX_KEEP_ALIVE_TO_COLD_START_COST_RATIO = 4;
    /** The number of gaps at which an artifact's own gaps weigh as much as the gaps of all artifacts. */
    private static final double PRIOR_WEIGHT_GAPS = 4;

    private static final double BYTES_PER_GIB = 1024.0 * 1024 * 1024;

    private final long coldStartCostMillis;
    private final GapHistogram allGaps = new GapHistogram();
    private final Map<ArtifactId, RequestHistory> histories = new HashMap<>();

    private final boolean bySize;

    public ExpectedCostIdlePolicy(long coldStartCostMillis) {
        this(coldStartCostMillis, false);
    }

    private ExpectedCostIdlePolicy(long coldStartCostMillis, boolean bySize) {
        this.coldStartCostMillis = coldStartCostMillis;
        this.bySize = bySize;
    }

    /**
     * Returns a policy whose cold-start cost applies to an artifact of 16 GiB. The cost is higher for smaller artifacts
     * and lower for larger ones.
     */
    public static ExpectedCostIdlePolicy bySize(long coldStartCostMillis) {
        return new ExpectedCostIdlePolicy(coldStartCostMillis, true);
    }

    private static final class RequestHistory {
        private final GapHistogram gaps = new GapHistogram();
        private long lastRequestMillis;
        private double keepAliveMillis = -1;
    }

    @Override
    public void onRequest(ArtifactId artifact, long nowMillis) {
        RequestHistory history = histories.get(artifact);
        if (history == null) {
            history = new RequestHistory();
            histories.put(artifact, history);
        } else {
            long gapMillis = nowMillis - history.lastRequestMillis;
            history.gaps.add(gapMillis);
            allGaps.add(gapMillis);
        }
        history.lastRequestMillis = nowMillis;
        history.keepAliveMillis = -1;
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long nowMillis) {
        return cachedKeepAlive(artifact, coldStartCostMillis);
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long sizeBytes, long nowMillis) {
        return cachedKeepAlive(
                artifact, bySize ? coldStartCostMillis * SizeWeight.keepAliveFactor(sizeBytes) : coldStartCostMillis);
    }

    private OptionalLong cachedKeepAlive(ArtifactId artifact, double adjustedCostMillis) {
        RequestHistory history = histories.get(artifact);
        if (history == null) {
            return OptionalLong.of(Math.round(adjustedCostMillis));
        }
        if (history.keepAliveMillis < 0) {
            history.keepAliveMillis = lowestCostKeepAliveMillis(history.gaps, adjustedCostMillis);
        }
        return OptionalLong.of(Math.round(history.keepAliveMillis));
    }

    private double lowestCostKeepAliveMillis(GapHistogram own, double adjustedCostMillis) {
        double ownWeight = own.totalWeight();
        double priorWeight = PRIOR_WEIGHT_GAPS / (PRIOR_WEIGHT_GAPS + ownWeight);
        double combinedWeight = ownWeight + priorWeight * allGaps.totalWeight();
        if (combinedWeight <= 0) {
            return adjustedCostMillis;
        }
        double bestMillis = 0;
        double bestCost = adjustedCostMillis;
        double expectedIdleOfShorterGaps = 0;
        double fractionOfShorterGaps = 0;
        for (int bucket = 0; bucket < GapHistogram.BUCKET_COUNT; bucket++) {
            double upperMillis = GapHistogram.upperBoundMillis(bucket);
            if (upperMillis > MAX_KEEP_ALIVE_TO_COLD_START_COST_RATIO * adjustedCostMillis) {
                break;
            }
            double fraction = gapFraction(own, priorWeight, bucket);
            expectedIdleOfShorterGaps += fraction * upperMillis;
            fractionOfShorterGaps += fraction;
            double cost = expectedIdleOfShorterGaps + (1 - fractionOfShorterGaps) * (upperMillis + adjustedCostMillis);
            if (cost < bestCost) {
                bestCost = cost;
                bestMillis = upperMillis;
            }
        }
        return bestMillis;
    }

    /** Returns the fraction of gaps in a bucket, mixed from the artifact's own gaps and the gaps of all artifacts. */
    private double gapFraction(GapHistogram own, double priorWeight, int bucket) {
        double overallFraction = allGaps.totalWeight() > 0 ? allGaps.weight(bucket) / allGaps.totalWeight() : 0;
        double ownFraction = own.totalWeight() > 0 ? own.weight(bucket) / own.totalWeight() : overallFraction;
        return priorWeight * overallFraction + (1 - priorWeight) * ownFraction;
    }

    @Override
    public double retentionValue(
            ArtifactId artifact, long lastUseMillis, long loadMillis, long sizeBytes, long nowMillis) {
        RequestHistory history = histories.get(artifact);
        double idleMillis = Math.max(1, nowMillis - lastUseMillis);
        double requestsPerMillis = 1 / idleMillis;
        if (history != null && history.gaps.totalWeight() > 0) {
            requestsPerMillis = requestProbability(history.gaps, idleMillis) / coldStartCostMillis;
        }
        double sizeGib = Math.max(1 / BYTES_PER_GIB, sizeBytes / BYTES_PER_GIB);
        return requestsPerMillis * Math.max(1, loadMillis) / sizeGib;
    }

    /**
     * Returns the probability that the next request arrives within the next {@code coldStartCostMillis}, given how long
     * the artifact has been idle.
     */
    private double requestProbability(GapHistogram own, double idleMillis) {
        double priorWeight = PRIOR_WEIGHT_GAPS / (PRIOR_WEIGHT_GAPS + own.totalWeight());
        double laterFraction = 0;
        double soonFraction = 0;
        for (int bucket = 0; bucket < GapHistogram.BUCKET_COUNT; bucket++) {
            double upperMillis = GapHistogram.upperBoundMillis(bucket);
            if (upperMillis <= idleMillis) {
                continue;
            }
            double fraction = gapFraction(own, priorWeight, bucket);
            laterFraction += fraction;
            if (upperMillis <= idleMillis + coldStartCostMillis) {
                soonFraction += fraction;
            }
        }
        return laterFraction > 0 ? soonFraction / laterFraction : 0;
    }

    @Override
    public OptionalLong preloadAtMillis(ArtifactId artifact, long nowMillis) {
        return OptionalLong.empty();
    }
}
