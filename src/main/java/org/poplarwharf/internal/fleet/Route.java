package org.poplarwharf.internal.fleet;

import java.util.List;

/**
 * Where requests of one host and path prefix go, and what they are promised. Immutable and thread-safe.
 *
 * @param pathPrefix begins and ends with a slash
 * @param timeoutMillis the longest time that a request may stay without its final answer
 * @param objectiveMillis the time to the answer, or to a stream's first event, that callers aim for
 * @param gapMillis the longest pause between events of a timely stream
 * @param priority the rank among routes; zero comes first
 * @param destinations the services that take the requests, by weight; never empty
 * @param maxTargets how many targets may run one request
 * @param sharesPrompts whether requests carry prompts with shared parts
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        RouteKind kind,
        long timeoutMillis,
        long objectiveMillis,
        long gapMillis,
        int priority,
        List<Destination> destinations,
        int maxTargets,
        boolean sharesPrompts) {

    /** A service and its share of a route's requests. Immutable and thread-safe. */
    public record Destination(String service, double weight) {}

    /** Callers leave a stream after the longest of this, four objectives and eight gaps without an event. */
    private static final long LEAST_PATIENCE_MILLIS = 2_000;

    private static final int PATIENCE_OBJECTIVES = 4;
    private static final int PATIENCE_GAPS = 8;

    /** Returns how long a caller waits for an answer, or for a stream's first event. */
    public long patienceMillis() {
        if (!kind.isStream()) {
            return timeoutMillis;
        }
        long patience = Math.max(PATIENCE_OBJECTIVES * objectiveMillis, PATIENCE_GAPS * gapMillis);
        return Math.min(timeoutMillis, Math.max(LEAST_PATIENCE_MILLIS, patience));
    }

    /** Returns the service for a request, so that the same request always gets the same one. */
    public String serviceFor(String requestId) {
        double total = destinations.stream().mapToDouble(Destination::weight).sum();
        double point = Integer.toUnsignedLong(requestId.hashCode() * 0x9E3779B9) / (double) (1L << 32) * total;
        for (Destination destination : destinations) {
            point -= destination.weight();
            if (point < 0) {
                return destination.service();
            }
        }
        return destinations.get(destinations.size() - 1).service();
    }
}
