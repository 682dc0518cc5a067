package org.poplarwharf.internal.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/**
 * The statistics of a load run. Immutable and thread-safe.
 *
 * @param requests number of requests sent
 * @param good number of requests with a complete response within the deadline
 * @param lost number of requests whose connection was lost before a final response
 * @param late number of requests with a final response after the deadline
 * @param refused number of refused requests by failure code
 * @param coldStart time to first byte of responses that waited for a load
 * @param warm time to first byte of all other responses
 * @param refusal time to the response of refused requests
 * @param wholeByClass time to the end of complete responses by request class
 */
public record LoadReport(
        int requests,
        int good,
        int lost,
        int late,
        Map<String, Integer> refused,
        Quantiles coldStart,
        Quantiles warm,
        Quantiles refusal,
        Map<String, Quantiles> wholeByClass) {

    /** Quantiles of a latency in milliseconds; all zero if there are no values. Immutable and thread-safe. */
    public record Quantiles(long count, long p50Millis, long p95Millis, long p99Millis, long maxMillis) {
        static Quantiles of(List<RequestResult> results, ToLongFunction<RequestResult> millis) {
            Histogram histogram = new Histogram(3);
            results.forEach(result -> histogram.recordValue(Math.max(0, millis.applyAsLong(result))));
            return new Quantiles(
                    histogram.getTotalCount(),
                    histogram.getValueAtPercentile(50),
                    histogram.getValueAtPercentile(95),
                    histogram.getValueAtPercentile(99),
                    histogram.getMaxValue());
        }
    }

    /** Computes the statistics of all results. */
    public static LoadReport of(List<RequestResult> results) {
        List<RequestResult> responses = filter(results, result -> result.status() == 200 && result.whole());
        List<RequestResult> refusals = filter(results, result -> !result.code().isEmpty() && result.status() != 0);
        Map<String, Integer> refused = new TreeMap<>();
        refusals.forEach(refusal -> refused.merge(refusal.code(), 1, Integer::sum));
        Map<String, Quantiles> quantilesByClass = new TreeMap<>();
        responses.stream()
                .map(response -> response.arrival().requestClass())
                .distinct()
                .forEach(className -> {
                    List<RequestResult> responsesOfClass = filter(
                            responses,
                            response -> response.arrival().requestClass().equals(className));
                    quantilesByClass.put(className, Quantiles.of(responsesOfClass, RequestResult::wholeMillis));
                });
        return new LoadReport(
                results.size(),
                filter(results, RequestResult::metDeadline).size(),
                filter(results, result -> !result.receivedFinalResponse()).size(),
                filter(
                                results,
                                result -> result.receivedFinalResponse()
                                        && result.wholeMillis()
                                                > result.arrival().deadlineMillis())
                        .size(),
                refused,
                Quantiles.of(filter(responses, RequestResult::coldStart), RequestResult::firstByteMillis),
                Quantiles.of(filter(responses, result -> !result.coldStart()), RequestResult::firstByteMillis),
                Quantiles.of(refusals, RequestResult::wholeMillis),
                quantilesByClass);
    }

    private static List<RequestResult> filter(List<RequestResult> results, Predicate<RequestResult> predicate) {
        return results.stream().filter(predicate).toList();
    }
}
