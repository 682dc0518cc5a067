package org.poplarwharf.internal.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What the callers of models saw of cold starts in a run. Immutable and thread-safe.
 *
 * <p>A refused request counts as a cold start that took until its deadline, so that refusing more never looks faster.
 *
 * @param completions requests for models and adapters
 * @param answered cold starts that were answered whole
 * @param refused requests that got no whole answer
 * @param p99Millis to the first byte, over answered cold starts and refused requests
 * @param answeredP99Millis to the first byte, over answered cold starts alone
 * @param allP99Millis to the first byte, over all requests for models, warm ones included
 * @param refusedBy refused requests by class and code
 */
public record ColdStarts(
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
     * Returns the figures of a run.
     *
     * @param timeScale by what the run's durations were divided; the figures are in the deployment's time
     */
    public static ColdStarts of(List<RequestResult> results, double timeScale) {
        List<RequestResult> completions = results.stream()
                .filter(result -> result.arrival().path().isEmpty())
                .toList();
        List<RequestResult> refused =
                completions.stream().filter(result -> !served(result)).toList();
        List<RequestResult> answered = completions.stream()
                .filter(result -> served(result) && result.coldStart())
                .toList();
        List<Long> cold = sorted(
                completions.stream()
                        .filter(result -> !served(result) || result.coldStart())
                        .toList(),
                timeScale);
        return new ColdStarts(
                completions.size(),
                answered.size(),
                refused.size(),
                quantile(cold, 0.50),
                quantile(cold, 0.95),
                quantile(cold, 0.99),
                quantile(sorted(answered, timeScale), 0.99),
                quantile(sorted(completions, timeScale), 0.99),
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

    private static boolean served(RequestResult result) {
        return result.status() == 200 && result.whole();
    }

    private static List<Long> sorted(List<RequestResult> results, double timeScale) {
        return results.stream()
                .map(result -> Math.round(waitMillis(result) * timeScale))
                .sorted()
                .toList();
    }

    private static long waitMillis(RequestResult result) {
        return served(result)
                ? result.firstByteMillis()
                : Math.max(result.wholeMillis(), result.arrival().deadlineMillis());
    }

    /** Returns the smallest value that a share of the values does not exceed; zero for no values. */
    static long quantile(List<Long> sorted, double share) {
        if (sorted.isEmpty()) {
            return 0;
        }
        return sorted.get((int) Math.ceil(share * sorted.size()) - 1);
    }
}
