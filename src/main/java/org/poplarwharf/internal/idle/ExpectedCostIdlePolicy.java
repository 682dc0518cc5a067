package org.poplarwharf.internal.idle;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.poplarwharf.plugins.ArtifactId;
import org.poplarwharf.plugins.IdlePolicy;

/**
 * Keeps each idle artifact for the time that costs least by the gaps seen between its requests: the idle time until the
 * next request or the end of the keep-alive, plus the price of a cold start where the request comes later.
 *
 * <p>The operator's keep-alive is the price of one cold start in idle milliseconds. An artifact with few gaps borrows from
 * those of all artifacts. What gives way first is what costs least to lose: its chance of a request soon, times its load
 * time, over its size.
 *
 * <p>Invariant: the keep-alive is never longer than {@link #LONGEST_OVER_PRICE} times the price. Belongs to the control
 * thread.
 */
public final class ExpectedCostIdlePolicy implements IdlePolicy {
    private static final double LONGEST_OVER_PRICE = 4;
    /** How many gaps of its own an artifact needs to count as much as the gaps of all. */
    private static final double PRIOR_WEIGHT = 4;

    private static final double BYTES_PER_GIB = 1024.0 * 1024 * 1024;

    private final long priceMillis;
    private final GapHistogram all = new GapHistogram();
    private final Map<ArtifactId, RequestHistory> histories = new HashMap<>();

    private final boolean bySize;

    public ExpectedCostIdlePolicy(long priceMillis) {
        this(priceMillis, false);
    }

    private ExpectedCostIdlePolicy(long priceMillis, boolean bySize) {
        this.priceMillis = priceMillis;
        this.bySize = bySize;
    }

    /** Returns a policy for which the price holds for 16 GiB, and is higher for less memory and lower for more. */
    public static ExpectedCostIdlePolicy bySize(long priceMillis) {
        return new ExpectedCostIdlePolicy(priceMillis, true);
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
            all.add(gapMillis);
        }
        history.lastRequestMillis = nowMillis;
        history.keepAliveMillis = -1;
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long nowMillis) {
        return keepAlive(artifact, priceMillis);
    }

    @Override
    public OptionalLong keepAliveMillis(ArtifactId artifact, long sizeBytes, long nowMillis) {
        return keepAlive(artifact, bySize ? priceMillis * SizeWeight.keepAliveFactor(sizeBytes) : priceMillis);
    }

    private OptionalLong keepAlive(ArtifactId artifact, double price) {
        RequestHistory history = histories.get(artifact);
        if (history == null) {
            return OptionalLong.of(Math.round(price));
        }
        if (history.keepAliveMillis < 0) {
            history.keepAliveMillis = cheapestMillis(history.gaps, price);
        }
        return OptionalLong.of(Math.round(history.keepAliveMillis));
    }

    private double cheapestMillis(GapHistogram own, double price) {
        double ownTotal = own.totalWeight();
        double weight = PRIOR_WEIGHT / (PRIOR_WEIGHT + ownTotal);
        double sum = ownTotal + weight * all.totalWeight();
        if (sum <= 0) {
            return price;
        }
        double bestMillis = 0;
        double bestCost = price;
        double idleOfEarlier = 0;
        double shareOfEarlier = 0;
        for (int bucket = 0; bucket < GapHistogram.BUCKET_COUNT; bucket++) {
            double upperMillis = GapHistogram.upperBoundMillis(bucket);
            if (upperMillis > LONGEST_OVER_PRICE * price) {
                break;
            }
            double share = share(own, weight, bucket);
            idleOfEarlier += share * upperMillis;
            shareOfEarlier += share;
            double cost = idleOfEarlier + (1 - shareOfEarlier) * (upperMillis + price);
            if (cost < bestCost) {
                bestCost = cost;
                bestMillis = upperMillis;
            }
        }
        return bestMillis;
    }

    /** Returns the share of gaps in a bucket, the artifact's own mixed with those of all. */
    private double share(GapHistogram own, double priorWeight, int bucket) {
        double ofAll = all.totalWeight() > 0 ? all.weight(bucket) / all.totalWeight() : 0;
        double ofOwn = own.totalWeight() > 0 ? own.weight(bucket) / own.totalWeight() : ofAll;
        return priorWeight * ofAll + (1 - priorWeight) * ofOwn;
    }

    @Override
    public double keepWorth(ArtifactId artifact, long lastUseMillis, long loadMillis, long sizeBytes, long nowMillis) {
        RequestHistory history = histories.get(artifact);
        double idleMillis = Math.max(1, nowMillis - lastUseMillis);
        double requestsPerMillis = 1 / idleMillis;
        if (history != null && history.gaps.totalWeight() > 0) {
            requestsPerMillis = chanceWithinPrice(history.gaps, idleMillis) / priceMillis;
        }
        double sizeGib = Math.max(1 / BYTES_PER_GIB, sizeBytes / BYTES_PER_GIB);
        return requestsPerMillis * Math.max(1, loadMillis) / sizeGib;
    }

    /** Returns the chance that the next request comes within the price, given that the artifact is idle already. */
    private double chanceWithinPrice(GapHistogram own, double idleMillis) {
        double weight = PRIOR_WEIGHT / (PRIOR_WEIGHT + own.totalWeight());
        double later = 0;
        double soon = 0;
        for (int bucket = 0; bucket < GapHistogram.BUCKET_COUNT; bucket++) {
            double upperMillis = GapHistogram.upperBoundMillis(bucket);
            if (upperMillis <= idleMillis) {
                continue;
            }
            double share = share(own, weight, bucket);
            later += share;
            if (upperMillis <= idleMillis + priceMillis) {
                soon += share;
            }
        }
        return later > 0 ? soon / later : 0;
    }

    @Override
    public OptionalLong loadAheadAtMillis(ArtifactId artifact, long nowMillis) {
        return OptionalLong.empty();
    }
}
