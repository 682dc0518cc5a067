package org.poplarwharf.internal.fleet;

import java.util.List;

/**
 * The destinations of requests with one host and path prefix, and their timeouts and objectives. Immutable and
 * thread-safe.
 *
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param timeoutMillis maximum time from the arrival of a request to the end of its response
 * @param objectiveMillis latency objective for the response, or for the first event of a stream
 * @param maxEventGapMillis maximum time between two events of a stream that meets its objective
 * @param priority priority among routes; zero is the highest
 * @param destinations services that receive the requests, in proportion to their weights; never empty
 * @param maxTargets maximum number of targets that may run one request
 * @param sharesPrompts whether requests carry prompts that have parts in common
 * @param isPublic whether requests need no key of a client account
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long maxEventGapMillis,
        int priority,
        List<Destination> destinations,
        int maxTargets,
        boolean sharesPrompts,
        boolean isPublic) {

    /** A service and its weight among the destinations of a route. Immutable and thread-safe. */
    public record Destination(String service, double weight) {}

    /**
     * Callers abandon a stream that sends no event for the longest of 2 seconds, four latency objectives and eight
     * event gaps.
     */
    private static final long MIN_STREAM_TIMEOUT_MILLIS = 2_000;

    private static final int STREAM_TIMEOUT_OBJECTIVES_COUNT = 4;
    private static final int STREAM_TIMEOUT_GAPS_COUNT = 8;

    /** Returns how long a caller waits for the response, or for the first event of a stream, in milliseconds. */
    public long callerTimeoutMillis() {
        if (!kind.isStream()) {
            return timeoutMillis;
        }
        long streamTimeoutMillis = Math.max(
                STREAM_TIMEOUT_OBJECTIVES_COUNT * objectiveMillis, STREAM_TIMEOUT_GAPS_COUNT * maxEventGapMillis);
        return Math.min(timeoutMillis, Math.max(MIN_STREAM_TIMEOUT_MILLIS, streamTimeoutMillis));
    }

    /** Returns the service for a request. The same request id always maps to the same service. */
    public String serviceFor(String requestId) {
        double totalWeight =
                destinations.stream().mapToDouble(Destination::weight).sum();
        double remainingWeight =
                Integer.toUnsignedLong(requestId.hashCode() * 0x9E3779B9) / (double) (1L << 32) * totalWeight;
        for (Destination destination : destinations) {
            remainingWeight -= destination.weight();
            if (remainingWeight < 0) {
                return destination.service();
            }
        }
        return destinations.get(destinations.size() - 1).service();
    }
}
