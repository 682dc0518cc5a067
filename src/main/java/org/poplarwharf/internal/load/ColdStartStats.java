package org.poplarwharf.internal.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Cold start latencies of a run as seen by callers of models. Immutable and thread-safe.
 *
 * <p>A refused request counts as a cold start that lasted at least until its deadline. Otherwise a policy that refuses
 * more requests would appear faster.
 *
 * @param completions number of requests for models and adapters
 * @param answered number of cold starts with a complete response
 * @param refused number of requests without a complete response
 * @param p50Millis median time to first byte, over answered cold starts and refused requests
 * @param p95Millis 95th percentile of the time to first byte, over answered cold starts and refused requests
 * @param p99Millis 99th percentile of the time to first byte, over answered cold starts and refused requests
 * @param answeredP99Millis 99th percentile of the time to first byte, over answered cold starts only
 * @param allP99Millis 99th percentile of the time to first byte, over all requests for models, including warm ones
 * @param refusedBy number of refused requests by request class and failure code
 */
public record ColdStartStats(
        int completions,
        int answered,
        int refused,
        long p50Millis,
        long p95Millis,
        long p99Millis,
        long answeredP99Millis,
        long allP99Millis,
        Map<String, Integer> refusedBy) {

    /**
     * Computes the statistics of a run.
     *
     * @param timeScale the factor by which the run's durations were divided; the statistics are scaled back by it
     */
    public static ColdStartStats of(List<RequestResult> results, double timeScale) {
        List<RequestResult> completions = results.stream()
                .filter(result -> result.arrival().path().isEmpty())
                .toList();
        List<RequestResult> refused =
                completions.stream().filter(result -> !isComplete(result)).toList();
        List<RequestResult> answered = completions.stream()
                .filter(result -> isComplete(result) && result.coldStart())
                .toList();
        List<Long> coldStartWaits = sortedWaits(
                completions.stream()
                        .filter(result -> !isComplete(result) || result.coldStart())
                        .toList(),
                timeScale);
        return new ColdStartStats(
                completions.size(),
                answered.size(),
                refused.size(),
                quantile(coldStartWaits, 0.50),
                quantile(coldStartWaits, 0.95),
                quantile(coldStartWaits, 0.99),
                quantile(sortedWaits(answered, timeScale), 0.99),
                quantile(sortedWaits(completions, timeScale), 0.99),
                refusedBy(refused));
    }

    private static Map<String, Integer> refusedBy(List<RequestResult> refused) {
        Map<String, Integer> counts = new TreeMap<>();
        for (RequestResult result : refused) {
            String code = result.code().isEmpty() ? "cut-off" : result.code();
            counts.merge(result.arrival().requestClass() + " " + code, 1, Integer::sum);
        }
        return counts;
    }

    private static boolean isComplete(RequestResult result) {
        return result.status() == 200 && result.whole();
    }

    private static List<Long> sortedWaits(List<RequestResult> results, double timeScale) {
        return results.stream()
                .map(result -> Math.round(scoredWaitMillis(result) * timeScale))
                .sorted()
                .toList();
    }

    private static long scoredWaitMillis(RequestResult result) {
        return isComplete(result)
                ? result.firstByteMillis()
                : Math.max(result.wholeMillis(), result.arrival().deadlineMillis());
    }

    /** Returns the nearest-rank quantile of sorted values, or zero if there are none. */
    static long quantile(List<Long> sorted, double fraction) {
        if (sorted.isEmpty()) {
            return 0;
        }
        return sorted.get((int) Math.ceil(fraction * sorted.size()) - 1);
    }
}
