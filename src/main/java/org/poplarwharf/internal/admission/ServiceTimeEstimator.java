package org.poplarwharf.internal.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import org.poplarwharf.plugins.ArtifactId;

/**
 * Estimates service times by artifact and request class, and by target, as exponentially weighted moving averages.
 *
 * <p>Invariant: bounded; the least recently used entry is evicted first. Confined to the control thread.
 */
final class ServiceTimeEstimator {
    private static final int MAX_ENTRY_COUNT = 20_000;
    private static final double NEWEST_SAMPLE_RATIO = 0.2;
    private static final double UPPER_DEVIATION_COUNT = 3;
    private static final double UPPER_MIN_RATIO = 1.1;
    private static final double UPPER_MAX_RATIO = 2;

    private final Map<Key, Double> millisByKey = boundedLruMap();
    private final Map<Key, Double> deviationByKey = boundedLruMap();
    private final Map<String, Double> millisByTarget = boundedLruMap();

    private record Key(ArtifactId artifact, String requestClass) {}

    void record(ArtifactId artifact, String requestClass, String target, long serviceMillis) {
        Key key = new Key(artifact, requestClass);
        double deviation = Math.abs(serviceMillis - millisByKey.getOrDefault(key, (double) serviceMillis));
        deviationByKey.merge(key, deviation, ServiceTimeEstimator::smooth);
        millisByKey.merge(key, (double) serviceMillis, ServiceTimeEstimator::smooth);
        millisByTarget.merge(target, (double) serviceMillis, ServiceTimeEstimator::smooth);
    }

    /** Returns the expected service time in milliseconds; zero if there are no samples. */
    double expectedMillis(ArtifactId artifact, String requestClass) {
        return millisByKey.getOrDefault(new Key(artifact, requestClass), 0.0);
    }

    /** Returns an upper estimate that few requests exceed, in milliseconds; zero if there are no samples. */
    double upperEstimateMillis(ArtifactId artifact, String requestClass) {
        double expectedMillis = expectedMillis(artifact, requestClass);
        double deviationMillis = deviationByKey.getOrDefault(new Key(artifact, requestClass), 0.0);
        return Math.min(
                expectedMillis * UPPER_MAX_RATIO,
                expectedMillis * UPPER_MIN_RATIO + UPPER_DEVIATION_COUNT * deviationMillis);
    }

    double expectedTargetMillis(String target) {
        return millisByTarget.getOrDefault(target, 0.0);
    }

    private static double smooth(double old, double newest) {
        return old + NEWEST_SAMPLE_RATIO * (newest - old);
    }

    private static <K> Map<K, Double> boundedLruMap() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<K, Double> eldest) {
                return size() > MAX_ENTRY_COUNT;
            }
        };
    }
}
