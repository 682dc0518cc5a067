package org.poplarwharf.internal.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The models that callers ask for while no target serves them, in the order in which they should be loaded. A request
 * that was refused counts as well as one that waits: the more callers a model has whose patience is shorter than its
 * load, the fewer of them wait for it. A model stays here for a while after its last refusal, also once it is loaded, so
 * that callers who come back find it.
 *
 * <p>There are two orders. One is by the requests that a load would serve, those that wait now and those expected while
 * it stays loaded; in it a model with few requests can go behind others forever. The other is by the time for which
 * callers have asked in vain; in it no model that is asked for later goes before one that was asked for earlier.
 *
 * <p>Confined to one thread. Keeps at most one entry for each model.
 */
final class UnservedDemand {
    /** Refused callers come back within about the time of a load; until then their model still counts as asked for. */
    private static final long REFUSAL_VALID_MILLIS = 6_000;

    /** A model that nobody has asked for in this time starts anew in the order by time. */
    private static final long MAX_ASK_INTERVAL_MILLIS = 20_000;

    /** The time over which the requests that a load would serve are counted. */
    private static final double HORIZON_SECONDS = 10;

    private final DemandEstimator demand;
    private final Map<String, Integer> waitingCounts = new LinkedHashMap<>();
    private final Map<String, Long> lastRefusedMillis = new HashMap<>();
    private final Map<String, Long> lastAdapterRefusedMillis = new HashMap<>();
    private final Map<String, AskedInVain> askedInVain = new HashMap<>();

    /** The first and the latest time at which a request for a model was not served, since one was. */
    private record AskedInVain(long sinceMillis, long latestMillis) {}

    UnservedDemand(DemandEstimator demand) {
        this.demand = demand;
    }

    /** Forgets the waiting requests, before they are counted anew. Refusals are kept. */
    void clearWaiting() {
        waitingCounts.clear();
    }

    /** Counts a request that waits for a model that no target serves. */
    void recordWaiting(String model, long nowMillis) {
        waitingCounts.merge(model, 1, Integer::sum);
        recordAskedInVain(model, nowMillis);
    }

    /** Records that a request was refused since no target serves its model in time. */
    void recordRefusal(String model, long nowMillis) {
        lastRefusedMillis.put(model, nowMillis);
        recordAskedInVain(model, nowMillis);
    }

    /** Records that a request was refused since no target that serves its model can load its adapter in time. */
    void recordAdapterRefusal(String model, long nowMillis) {
        lastAdapterRefusedMillis.put(model, nowMillis);
        recordRefusal(model, nowMillis);
    }

    /** Returns whether the model is served, but adapters of it were lately refused. */
    boolean lacksAdapters(String model, long nowMillis) {
        Long refusedMillis = lastAdapterRefusedMillis.get(model);
        return refusedMillis != null && nowMillis - refusedMillis <= REFUSAL_VALID_MILLIS;
    }

    /** Records that a request for the model was placed at a target. */
    void recordServed(String model) {
        askedInVain.remove(model);
    }

    private void recordAskedInVain(String model, long nowMillis) {
        AskedInVain known = askedInVain.get(model);
        boolean startsAnew = known == null || nowMillis - known.latestMillis() > MAX_ASK_INTERVAL_MILLIS;
        askedInVain.put(model, new AskedInVain(startsAnew ? nowMillis : known.sinceMillis(), nowMillis));
    }

    /** Returns the models that are asked for now, in the order by the requests that their loads would serve. */
    Set<String> modelsInOrder(long nowMillis) {
        lastRefusedMillis.values().removeIf(refusedMillis -> nowMillis - refusedMillis > REFUSAL_VALID_MILLIS);
        if (waitingCounts.isEmpty() && lastRefusedMillis.isEmpty()) {
            return Set.of();
        }
        Map<String, Double> expectedRequests = new HashMap<>();
        waitingCounts.forEach((model, count) -> expectedRequests.merge(model, (double) count, Double::sum));
        lastRefusedMillis.keySet().forEach(model -> expectedRequests.putIfAbsent(model, 0.0));
        expectedRequests.replaceAll(
                (model, waiting) -> waiting + demand.requestsPerSecond(model, nowMillis) * HORIZON_SECONDS);
        List<String> models = new ArrayList<>(expectedRequests.keySet());
        models.sort(Comparator.comparingDouble((String model) -> -expectedRequests.get(model))
                .thenComparing(Comparator.naturalOrder()));
        return new LinkedHashSet<>(models);
    }

    /** Returns the models that callers have asked for in vain, also a while ago; the one asked for earliest is first. */
    List<String> modelsByWait(long nowMillis) {
        askedInVain.values().removeIf(asked -> nowMillis - asked.latestMillis() > MAX_ASK_INTERVAL_MILLIS);
        List<String> models = new ArrayList<>(askedInVain.keySet());
        models.sort(Comparator.comparingLong(
                        (String model) -> askedInVain.get(model).sinceMillis())
                .thenComparing(Comparator.naturalOrder()));
        return models;
    }

    /** Returns for how long callers have asked for the model in vain; zero if they don't. */
    long askedInVainMillis(String model, long nowMillis) {
        AskedInVain asked = askedInVain.get(model);
        return asked == null ? 0 : nowMillis - asked.sinceMillis();
    }
}
