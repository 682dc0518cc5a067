package org.poplarwharf.internal.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import org.HdrHistogram.Histogram;

/**
 * The figures of a run. Immutable and thread-safe.
 *
 * @param requests how many were sent
 * @param good how many were answered whole and in time
 * @param lost how many connections were lost without a final answer
 * @param refused how many ended with each failure code
 * @param late how many got a final answer after their deadline
 * @param coldStart time to the first byte of answers that waited for a load
 * @param warm time to the first byte of the other answers
 * @param refusal time to the answer of refused requests
 * @param wholeByClass time to the end of whole answers
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

    /** Quantiles of a time in milliseconds; all zero for no values. */
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

    /** Returns the figures of all results. */
    public static LoadReport of(List<RequestResult> results) {
        List<RequestResult> answers = filter(results, r -> r.status() == 200 && r.whole());
        List<RequestResult> refusals = filter(results, r -> !r.code().isEmpty() && r.status() != 0);
        Map<String, Integer> refused = new TreeMap<>();
        refusals.forEach(refusal -> refused.merge(refusal.code(), 1, Integer::sum));
        Map<String, Quantiles> byClass = new TreeMap<>();
        answers.stream().map(a -> a.arrival().requestClass()).distinct().forEach(name -> {
            List<RequestResult> ofClass =
                    filter(answers, a -> a.arrival().requestClass().equals(name));
            byClass.put(name, Quantiles.of(ofClass, RequestResult::wholeMillis));
        });
        return new LoadReport(
                results.size(),
                filter(results, RequestResult::good).size(),
                filter(results, r -> !r.answered()).size(),
                filter(
                                results,
                                r -> r.answered()
                                        && r.wholeMillis() > r.arrival().deadlineMillis())
                        .size(),
                refused,
                Quantiles.of(filter(answers, RequestResult::coldStart), RequestResult::firstByteMillis),
                Quantiles.of(filter(answers, r -> !r.coldStart()), RequestResult::firstByteMillis),
                Quantiles.of(refusals, RequestResult::wholeMillis),
                byClass);
    }

    private static List<RequestResult> filter(List<RequestResult> results, Predicate<RequestResult> test) {
        return results.stream().filter(test).toList();
    }
}
