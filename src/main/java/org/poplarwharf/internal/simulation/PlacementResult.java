package org.poplarwharf.internal.simulation;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.poplarwharf.internal.simulation.PlacementScenario.Caller;
import org.poplarwharf.internal.simulation.PlacementScenario.CallerClass;

/**
 * What callers got in a simulation, and the loads that it took. Immutable.
 *
 * @param worth the value of all responses, by class
 * @param worthAsked the value of the responses if all had been on time, by class
 * @param servedCount the number of callers with a response, by class
 * @param callerCount the number of callers, by class
 * @param loadsByCopy the number of loads from main memory, from disk and from the store
 * @param loadStarts the loads in the order in which targets accepted them
 * @param neverServedModels the models that callers asked for through the period, with no caller served
 * @param maxConcurrentStoreLoads the most loads from the store at the same time
 * @param longestOutageMillis the longest time in which callers asked for a model and none of them was served, by model
 */
public record PlacementResult(
        Map<String, Double> worth,
        Map<String, Double> worthAsked,
        Map<String, Integer> servedCount,
        Map<String, Integer> callerCount,
        Map<LoadSource, Integer> loadsByCopy,
        List<LoadStart> loadStarts,
        Set<String> neverServedModels,
        long maxConcurrentStoreLoads,
        Map<String, Long> longestOutageMillis) {

    /** A model is asked for through the period with this many callers or more over at least the minimum time. */
    private static final int MIN_ASKED_COUNT = 4;

    private static final long MIN_ASKED_MILLIS = 8_000;

    /** Where a target loads weights from. */
    public enum LoadSource {
        MEMORY,
        DISK,
        STORE
    }

    /** A load that a target has accepted. */
    public record LoadStart(long atMillis, String model, String target, LoadSource source) {}

    /** Computes the result from the time of each served caller's first event. */
    static PlacementResult of(
            List<Caller> callers,
            Map<Integer, Long> firstEventMillis,
            List<LoadStart> loadStarts,
            long maxConcurrentStoreLoads) {
        Map<String, Double> worth = new LinkedHashMap<>();
        Map<String, Double> worthAsked = new LinkedHashMap<>();
        Map<String, Integer> served = new LinkedHashMap<>();
        Map<String, Integer> count = new LinkedHashMap<>();
        for (Caller caller : callers) {
            CallerClass callerClass = caller.callerClass();
            Long firstMillis = firstEventMillis.get(caller.id());
            boolean isServed = firstMillis != null;
            boolean onTime = isServed && firstMillis - caller.arrivalMillis() <= callerClass.objectiveMillis();
            double earned = !isServed ? 0 : onTime ? callerClass.worth() : callerClass.lateWorth();
            worth.merge(callerClass.name(), earned, Double::sum);
            worthAsked.merge(callerClass.name(), callerClass.worth(), Double::sum);
            served.merge(callerClass.name(), isServed ? 1 : 0, Integer::sum);
            count.merge(callerClass.name(), 1, Integer::sum);
        }
        Map<LoadSource, Integer> loads = new LinkedHashMap<>();
        for (LoadSource source : LoadSource.values()) {
            loads.put(source, 0);
        }
        loadStarts.forEach(start -> loads.merge(start.source(), 1, Integer::sum));
        return new PlacementResult(
                worth,
                worthAsked,
                served,
                count,
                loads,
                List.copyOf(loadStarts),
                neverServedModels(callers, firstEventMillis),
                maxConcurrentStoreLoads,
                longestOutages(callers, firstEventMillis));
    }

    private static Set<String> neverServedModels(List<Caller> callers, Map<Integer, Long> firstEventMillis) {
        Map<String, List<Caller>> callersByModel =
                callers.stream().collect(Collectors.groupingBy(Caller::model, TreeMap::new, Collectors.toList()));
        Set<String> neverServed = new LinkedHashSet<>();
        callersByModel.forEach((model, asking) -> {
            long askedMillis = asking.get(asking.size() - 1).arrivalMillis()
                    - asking.get(0).arrivalMillis();
            boolean isServed = asking.stream().anyMatch(caller -> firstEventMillis.containsKey(caller.id()));
            if (!isServed && asking.size() >= MIN_ASKED_COUNT && askedMillis >= MIN_ASKED_MILLIS) {
                neverServed.add(model);
            }
        });
        return neverServed;
    }

    /** Measures each outage from the arrival of its first caller to that of the next one that is served. */
    private static Map<String, Long> longestOutages(List<Caller> callers, Map<Integer, Long> firstEventMillis) {
        Map<String, Long> outageStarts = new HashMap<>();
        Map<String, Long> longest = new LinkedHashMap<>();
        for (Caller caller : callers) {
            String model = caller.model();
            long startMillis = outageStarts.getOrDefault(model, caller.arrivalMillis());
            longest.merge(model, caller.arrivalMillis() - startMillis, Math::max);
            if (firstEventMillis.containsKey(caller.id())) {
                outageStarts.remove(model);
            } else {
                outageStarts.put(model, startMillis);
            }
        }
        return longest;
    }

    /** Returns the value of all responses as a share of the value that was asked for. */
    public double worthRatio() {
        return sum(worth) / sum(worthAsked);
    }

    /** Returns the value of a class's responses as a share of the value that was asked for. */
    public double worthRatio(String className) {
        return worth.get(className) / worthAsked.get(className);
    }

    private static double sum(Map<String, Double> byClass) {
        return byClass.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
